Feature: One owner at a time orders an engine over restores of the store

  # Guards against two owners with one fencing number, and owners that take turns, when the
  # group of a restored store forgets who holds a partition.
  Scenario: Generated restores and cuts never give an engine two owners
    Then in 60 generated histories no two daemons share a fencing number or take turns, and the engine has an owner at the end

  # Shows that the check above can fail.
  Scenario: The group's generation goes back behind three rebalances
    Given 3 daemons whose group is rebalanced 3 times and then restored to before that
    Then with the store's eras the check finds no fault
    And without them it finds one
