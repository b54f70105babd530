Feature: Each daemon measures its requests by workspace

  Scenario: Answers and refusals are counted with their times
    Given a measured fleet of 1 daemon and 1 engine
    When a workspace has 5 streams of 20 tokens answered and 2 requests refused
    Then the dump shows 5 of 7 answered, 100 tokens and the times that the engine takes
    And the daemon's log lines of the requests carry request id, step and peer

  Scenario: Many workspaces are measured in bounded memory
    Then 5000 workspaces are measured in no more than 33 entries
