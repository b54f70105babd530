Feature: Endpoints and daemons leave without cutting anything off

  Scenario: No caller holds the address of a daemon that has drained
    Then over generated stops no list with the daemon's address outlives it

  Scenario Outline: A leaving endpoint gets no new work and finishes what runs
    Given a leaving fleet of 1 daemon and 2 engines with a stream of 300 tokens running
    When the engine of the stream leaves <how>
    Then after 3 s only the other engine gets new work
    And the running stream ends whole

    Examples:
      | how            |
      | by the list    |
      | by its own word|

  Scenario: SIGTERM under load cuts off no request
    Given a leaving fleet of 2 daemons and 2 engines with a stream of 100 tokens running
    And callers that follow the address list
    When "entry-1" gets SIGTERM while callers follow its list
    Then it is off its own list at once and off the other's within 3 s
    And a stream of 450 tokens begun on a kept answer ends whole
    And "entry-1" exits with code 0 and every request was answered whole

  Scenario: A daemon without work still serves callers that hold its address
    Given a leaving fleet of 2 daemons and 2 engines with a stream of 5 tokens running
    And callers that follow the address list
    When "entry-1" gets SIGTERM while callers follow its list
    Then "entry-1" exits with code 0 and every request was answered whole

  Scenario: A stop while the log is down waits until the address list has changed
    Given a leaving fleet of 2 daemons and 2 engines with a stream of 5 tokens running
    When the log is down and "entry-1" gets SIGTERM
    Then "entry-1" is off its own list and goes on serving
    When the log is back
    Then "entry-1" soon exits with code 0

  Scenario: A second SIGTERM ends the wait
    Given a leaving fleet of 1 daemon and 2 engines with a stream of 3000 tokens running
    When "entry-1" gets SIGTERM twice
    Then "entry-1" soon exits with code 0
