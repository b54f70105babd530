Feature: A stream is polled only as often as its state is used

  Scenario: A pausing follower polls at once when it is woken
    Given a follower that pauses for 1000 s between its polls
    When its poll timing changes to polls of 0.5 s and it is woken
    Then its polls waited 0, 0, 0.5 and 0.5 s for records

  Scenario: Claims are polled without pauses only around an action
    Given a claims reader that read the head 100 s ago
    Then it pauses between its polls
    When an action refreshes the reader
    Then the head was read and the reader doesn't pause between its polls
    When 100 s pass
    Then it pauses between its polls
    When the log fails and an action refreshes the reader
    Then the head was not read
