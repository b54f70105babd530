Feature: Workspace limits with separate processes

  Background:
    Given a fleet of 3 daemons and an engine with limited workspaces

  Scenario: A workspace at several times its rate takes nothing from another one
    When "flood" sends 5 times its rate and "calm" half its rate through all daemons for 4 s
    Then the engine executed no more for "flood" than its rate and burst allow
    And no request of "calm" was refused
    And each refusal arrived within 1 s, as not run, with a retry delay

  Scenario: A request that never fits the burst is refused without a retry delay
    When "calm" requests more tokens than its burst
    Then that request is refused with 429 as not run, naming the burst, without a retry delay

  Scenario Outline: The limit is not exceeded while <fault>
    When "flood" sends requests through all daemons for <time_s> s while <fault>
    Then the engine executed no more for "flood" than its rate and burst allow
    And requests of "flood" succeed after the fault

    # A thawed daemon joins again: its shares change owners twice, up to 7.5 s each time.
    Examples:
      | fault                                        | time_s |
      | a daemon is killed                           | 8      |
      | a daemon is frozen past its lease and thawed | 16     |
      | the log is down                              | 8      |
      | a daemon stops as planned                    | 8      |
