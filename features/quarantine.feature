Feature: A request that crashes endpoints is stopped after two

  Scenario: The crash register equals a naive one
    Then over generated crashes and successes the crash register equals the naive one

  Scenario: All daemons try a suspect in one order
    Then over generated endpoints a suspect's order is one for all and blamed ones are last

  Scenario: Poison sent again through another daemon, innocents beside it
    Given a quarantining fleet of 2 daemons and 3 engines that crash on "poison"
    And 4 innocent streams running beside each other
    When the caller sends "poison" through "entry-1"
    Then it is refused with 422 "request_quarantined" and two engines have crashed
    When the caller sends "poison" through "entry-2"
    Then it is refused with 422 "request_quarantined" and two engines have crashed
    And the innocent streams end whole and none is kept as suspect

  Scenario: Fingerprints tell workspaces, versions, prompts and parameters apart
    Then requests that differ in one of these have different fingerprints

  Scenario: A daemon that joins later knows of the quarantine
    Given a quarantining fleet of 2 daemons and 3 engines that crash on "poison"
    When the caller sends "poison" through "entry-1"
    And a third daemon joins and has asked the others
    And the caller sends "poison" through "entry-3"
    Then it is refused with 422 "request_quarantined" and two engines have crashed

  Scenario: Copies sent through all daemons at the same instant
    Given a quarantining fleet of 3 daemons and 5 engines that crash on "poison"
    When callers send "poison" 4 times through each daemon at the same instant
    Then every copy is refused, as quarantined or as not run, and at most two engines have crashed
