Feature: An engine's adapters fit its slots whoever owns it

  # Guards against an owner that counts an order that the engine doesn't: the load of an
  # adapter that is being loaded. Its next order would be accepted on a plan that lacks the
  # former owner's last load.
  Scenario: The next owner orders again what the engine is loading
    Given an engine that loads two adapters for its owner, the second one just now
    When the next owner loads the first one and then another adapter
    Then the engine was never ordered to load more adapters than it has slots

  # Guards against an engine that gets no orders any more: its owner read the report once
  # after a failed load and gave up.
  Scenario: An engine is silent while its owner orders a load and reads the report
    Given an engine that answers neither orders nor reports for 2 s
    When an adapter is requested 2 s later
    Then the engine holds it

  # Guards against an overfilled engine in every mix of restores, cuts, rebalances and freezes, joins that
  # take effect late, and orders that are lost or take effect late.
  Scenario: Generated changes of owners never overfill an engine
    Then in 30 generated histories no engine is ordered to load more adapters than it has slots, and no order names a count that the engine has not reached
