Feature: Regions that lose each other keep every promise

  Background:
    Given 3 regions of 2 daemons whose network can be cut, with endpoints that all reach

  Scenario: A region that is cut off refuses keys, the others go on
    When region "c" is cut off from the other regions and the log
    Then within 5 s each daemon of region "c" refuses a key as not run
    And within 15 s each daemon of regions "ab" answers a key
    And within 15 s no daemon of region "c" is a member for the others
    When the other regions withdraw the second key and the cut heals
    Then no daemon answers the withdrawn key
    And within 15 s each daemon of regions "abc" answers a key

  Scenario: While regions are cut off nothing is overspent and no action runs twice
    When region "b" is cut off for 7 s while one tenant floods all regions
    And the same action is sent to every daemon before, during and after the cut
    Then the flooding tenant received no more than its rate and burst
    And the action ran once, and every answer to it is the same

  # An endpoint whose home is cut off is missing until the log is back: homes can't move
  # without it. So the region to be cut is one that is home to no engine.
  Scenario: Without the log the regions that hold the majority go on
    When the log goes down and a region that is home to no engine is cut off
    Then within 5 s each daemon of that region refuses a key as not run
    And each other daemon answers a key after 6 s without the log, and is fresh
    When the log is back and the cut heals
    Then within 15 s each daemon of regions "abc" answers a key
