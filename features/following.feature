Feature: A stream is read as closely as it is needed

  Scenario: A follower that pauses reads at once when it is woken
    Given a follower that pauses for 1000 s between its polls
    When its pace becomes polls of 0.5 s and it is woken
    Then its polls waited 0, 0, 0.5 and 0.5 s for records

  Scenario: Claims are read closely only around an action
    Given a reader of claims that has read the head 100 s ago
    Then it pauses between its polls
    When an action asks for the head
    Then the head is known and the reader doesn't pause
    When 100 s pass
    Then it pauses between its polls
    When the log fails and an action asks for the head
    Then the head is not known
