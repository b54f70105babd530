Feature: A workspace's limit holds over all daemons together

  Scenario: No window receives more than its rate and burst, in any generated history
    When 800 generated histories with faults run on the limit's decisions
    Then in every one of them no window received more than the rate and burst allow

  Scenario: A limit that is raised or lowered while grants are open
    Then in 400 generated histories with faults no window receives more than the largest limit in force in it or 5.1 s before

  Scenario: Without faults nothing is refused that one global bucket would admit
    Then in 200 generated histories without faults every request is admitted that a global bucket covers with 3 tokens to spare

  Scenario: The peak since a mark equals a scan of all levels
    Then in 300 generated level histories each peak equals the one found by a scan
