Feature: Each daemon records metrics of its requests by workspace

  Scenario: Answered and refused requests are counted with their times
    Given a fleet of 1 daemon and 1 engine whose metrics are read
    When a workspace has 5 streams of 20 tokens answered and 2 requests refused
    Then the dump shows 5 of 7 answered, 100 tokens and times that match the engine's
    And the daemon's log lines of the requests carry request id, step and peer

  Scenario: Metrics of many workspaces take bounded memory
    Then metrics of 5000 workspaces take no more than 33 entries
