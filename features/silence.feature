Feature: A request on a silent connection is retried before its peer counts as failed

  Scenario: The log's connections go silent
    Given a daemon with a ledger whose connections can go silent
    When the log's open connections go silent
    Then the daemon reads the log to its head again within 6 s without an error

  Scenario: A service's connections go silent
    Given a daemon with a ledger whose connections can go silent
    When the ledger's open connections go silent before an idempotent call
    Then the call is answered within 7 s and the ledger received it
    And an action sent afterwards is recorded once

  Scenario: An engine's stream goes silent
    Given a daemon with an engine whose connections can go silent
    When the engine's connections go silent during a stream of 200 tokens
    Then the caller receives the complete stream of 200 tokens within 25 s

  Scenario: A daemon's connection to a peer goes silent
    Given a peer whose connections can go silent
    When the connection to the peer goes silent
    Then a call to the peer fails once and the next call is answered within 5 s

  Scenario: A peer that dribbles its answer is given up at the time limit
    Given a server that sends one byte of its response every 0.2 s
    Then a request to it with a time limit of 1 s ends as timed out within 2 s
