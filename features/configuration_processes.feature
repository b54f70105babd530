Feature: What was accepted is in force everywhere and never reverts

  Background:
    Given a configured fleet whose daemons append snapshots every second

  Scenario: A daemon that starts after the records have expired takes a snapshot
    When the log keeps 3 records and the configuration has changed 6 times
    And daemon "entry-2" starts
    Then daemon "entry-2" holds the configuration of "entry-1", from a snapshot

  Scenario: Late, broken and foreign snapshots revert nothing
    When the log keeps 3 records and the configuration has changed 6 times
    And an old, a truncated and an invalid snapshot are appended last
    And daemon "entry-2" starts
    Then daemon "entry-2" holds the configuration of "entry-1", from a snapshot

  Scenario: Without the log and without a peer there is no configuration
    When the log goes down
    And daemon "entry-2" starts
    Then a keyed request to "entry-2" is refused as not run, "no configuration yet"

  Scenario: Without the log a daemon takes the configuration from a peer
    When the log goes down
    And daemon "entry-2" starts with "entry-1" as its seed
    Then daemon "entry-2" holds the configuration of "entry-1", from a snapshot
    And a keyed request to "entry-2" is refused as not run, "keys cannot be checked now"

  Scenario: A daemon that cannot learn of withdrawals refuses keys within 5 s
    When the log goes down
    Then keyed requests to "entry-1" are refused within 5 s
    And keyed requests to "entry-1" are served again once the log is back

  Scenario: A publish whose append answer was lost is settled by reading
    When a publish loses the response to its append
    Then it is reported in force and is in the log once

  Scenario: A running stream ends when its key is withdrawn, though the engine is silent
    When a stream is running and its engine goes silent
    And the key of the stream is withdrawn
    Then the stream ends within 5 s with the error "invalid_api_key"
