Feature: A request that crashes endpoints is quarantined after two crashes

  Scenario: The crash register equals a naive one
    Then the crash register equals the naive one over generated crashes and successes

  Scenario: All daemons try a suspect on endpoints in the same order
    Then a suspect's generated endpoints have one order on all daemons, blamed ones last

  Scenario: A crashing request is sent again through another daemon beside harmless streams
    Given a quarantining fleet of 2 daemons and 3 engines that crash on "poison"
    And 4 harmless streams in flight at the same time
    When the caller sends "poison" through "entry-1"
    Then it is refused with 422 "request_quarantined" and two engines have crashed
    When the caller sends "poison" through "entry-2"
    Then it is refused with 422 "request_quarantined" and two engines have crashed
    And the harmless streams complete and none is left a suspect

  Scenario: Fingerprints differ by workspace, version, prompt and parameters
    Then requests that differ in one of these have different fingerprints

  Scenario: A daemon that joins later applies the quarantine
    Given a quarantining fleet of 2 daemons and 3 engines that crash on "poison"
    When the caller sends "poison" through "entry-1"
    And a third daemon joins and has fetched the crashes from the others
    And the caller sends "poison" through "entry-3"
    Then it is refused with 422 "request_quarantined" and two engines have crashed

  Scenario: Copies are sent through all daemons at the same time
    Given a quarantining fleet of 3 daemons and 5 engines that crash on "poison"
    When callers send "poison" 4 times through each daemon at the same time
    Then all copies are refused, quarantined or not run, and at most two engines crashed
