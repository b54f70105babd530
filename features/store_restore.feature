Feature: The store is restored from an older copy of itself in a new era

  # Guards against records that are never read: the restored store gives their offsets out
  # again, and a follower goes on behind them.
  Scenario: Offsets are given out again to other records
    Given a fleet of 2 daemons with 1 engine on a store of era 1
    When the store is restored from a copy that lacks the last 2 records
    And 2 other records are written in their place, the first declares an adapter's version
    Then all daemons know the declared version within 3 s

  # Guards against a configuration that goes back: the store offers an older one.
  Scenario: A daemon starts after the newest configuration was lost
    Given a fleet of 2 daemons with 1 engine on a store of era 1
    When the store is restored from a copy that lacks the last configuration
    And one daemon restarts
    Then all daemons have the lost configuration in force within 3 s

  # Guards against an engine that obeys no owner: the group's generation, the fencing number
  # of orders, goes back, and engines refuse what is lower than they have seen.
  Scenario: The group's generation goes back
    Given a fleet of 2 daemons with 1 engine on a store of era 1
    When the engine's owner changes 3 times and the store is restored to the first one
    Then a stream with an adapter that isn't loaded is served within 6 s
    And no order had a fencing number that another daemon had used

  # Guards against endpoints that no longer exist and are kept because a reader missed their
  # removal.
  Scenario: An endpoint's record is lost and not written again
    Given a fleet of 2 daemons with 2 engines on a store of era 1
    When the store is restored from a copy that lacks an engine
    Then all daemons drop that engine within 5 s

  # Guards against a reader thread that ends, or an era that nothing can follow, when the
  # header is unreadable.
  Scenario: Header values that name no era
    Then generated header values never lower the era nor raise it beyond a plausible one
