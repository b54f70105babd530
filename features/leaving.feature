Feature: Endpoints and daemons leave without interrupting requests

  Scenario: No caller holds the address of a daemon that has drained
    Then in generated stops no caller holds the daemon's address when it has drained

  Scenario Outline: A leaving endpoint gets no new work and finishes what runs
    Given a leaving fleet of 1 daemon and 2 engines with a stream of 300 tokens running
    When the engine of the stream is marked as leaving in <where>
    Then after 3 s only the other engine gets new requests
    And the running stream completes

    Examples:
      | where             |
      | the instance list |
      | its own status    |

  Scenario: SIGTERM under load cuts off no request
    Given a leaving fleet of 2 daemons and 2 engines with a stream of 100 tokens running
    And callers that follow the address list
    When "entry-1" gets SIGTERM while callers follow its list
    Then its own list omits it at once and the other's list within 3 s
    And a stream of 450 tokens begun with a kept address list completes
    And "entry-1" exits with code 0 and every request was answered completely

  Scenario: A daemon without work still serves callers that hold its address
    Given a leaving fleet of 2 daemons and 2 engines with a stream of 5 tokens running
    And callers that follow the address list
    When "entry-1" gets SIGTERM while callers follow its list
    Then "entry-1" exits with code 0 and every request was answered completely

  Scenario: A stop while the log is down waits until the address list has changed
    Given a leaving fleet of 2 daemons and 2 engines with a stream of 5 tokens running
    When the log goes down and "entry-1" gets SIGTERM
    Then "entry-1" is not on its own list and continues to serve
    When the log is up again
    Then "entry-1" soon exits with code 0

  Scenario: A second SIGTERM ends the wait
    Given a leaving fleet of 1 daemon and 2 engines with a stream of 3000 tokens running
    When "entry-1" gets SIGTERM twice
    Then "entry-1" soon exits with code 0

  # Guards against ending with a request that arrived after the check that none runs.
  Scenario: A request that arrives as a stopping daemon finds itself idle is finished
    When a daemon drains and a request begins right after the check that none runs
    Then the drain ends after that request, and others are refused meanwhile

  # Guards against a handler that waits for a lock which the thread it interrupts holds.
  Scenario: A signal to stop that interrupts a check for it isn't lost
    When SIGTERM comes while the main thread holds the lock of the event that it sets
    Then the process stops

  # Guards against a handler that waits for the main thread, which that signal doesn't wake.
  Scenario: A signal to stop that another thread than the main one gets isn't lost
    When SIGTERM is delivered to another thread while the main thread waits
    Then the process stops
