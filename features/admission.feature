Feature: A request is not refused for a share of its limit that is between two homes

  Scenario: A share that has not begun yet is asked again
    Given a limit whose shares are between two homes for the first 20 questions
    When a request of 10 tokens is charged
    Then it is admitted

  Scenario: What the shares refuse is refused at once
    Given a limit whose shares answer and have no tokens
    When a request of 10 tokens is charged
    Then it is refused and no share was asked more than twice

  Scenario: A flood does not wait for a share that has no home
    Given a limit whose shares are between two homes for the first 100000 questions
    When 12 requests of 10 tokens are charged at the same moment
    Then 8 of them are refused while 4 still wait
    When 0.9 s have passed for the limit
    Then all of them are refused
    And another request is refused after each share was asked at most twice more

  Scenario: A share of a workspace that is not known yet is not given up
    Given a member that has not read of the workspace yet
    When the share's next home pulls it, before and after the member has read of it
    Then the first pull is refused and the second one passes the whole burst on
