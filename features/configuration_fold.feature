Feature: Every reader of the configuration stream reaches the same state

  Scenario: The fold agrees with a naive one over generated histories
    When 200 generated configuration histories are folded, seed 4101
    Then the fold and the naive one agree after every record and from every snapshot

  Scenario: The cost of a change does not follow the size of the configuration
    Given a fold of 2000 adapters
    When one adapter changes and one is removed with its workspace
    Then the fold has not read or copied its sections as a whole

  Scenario: Every fault of a text is reported with its line
    Given the configuration text
      """
      [workspaces.house]
      rate_tokens_per_s = -1.0
      burst_tokens = "many"

      [workspaces."other.house"]
      rate_tokens_per_s = 1.0
      burst_tokens = 1
      surplus = true

      [groups.ledger]
      kind = "service"

      [adapters.summary]
      group = "ledger"
      versions = [1, 1]
      default_version = 2
      workspaces = ["house", "nobody"]

      [bogus.x]
      """
    When a configuration text with 8 faults is read
    Then these faults are reported
      | line | part                                     |
      | 2    | workspaces.house.rate_tokens_per_s       |
      | 3    | workspaces.house.burst_tokens            |
      | 8    | workspaces.other.house.surplus           |
      | 13   | default_version is not among versions    |
      | 13   | versions: one stands there twice         |
      | 13   | groups/ledger is not of the kind         |
      | 13   | there is no workspaces/nobody            |
      | 19   | unknown kind of section                  |
