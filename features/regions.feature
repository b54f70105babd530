Feature: Regions that are cut off from each other keep all guarantees

  Background:
    Given 3 regions of 2 daemons whose network can be partitioned, with endpoints that all reach

  Scenario: A region that is cut off refuses keys, the others go on
    When region "c" is cut off from the other regions and the log
    Then within 5 s each daemon of region "c" refuses a request with a key as not run
    And within 15 s each daemon of regions "ab" answers a request with a key
    And within 15 s no daemon of region "c" is a member in the views of the others
    When the other regions withdraw the second key and the partition heals
    Then no daemon answers the withdrawn key
    And within 15 s each daemon of regions "abc" answers a request with a key

  Scenario: While regions are cut off nothing is overspent and no action runs twice
    When region "b" is cut off for 7 s while one workspace floods all regions
    And the same action is sent to every daemon before, during and after the partition
    Then the flooding workspace received no more tokens than its rate and burst
    And the action ran once, and every response to it is the same

  # An endpoint whose owner is cut off is unavailable until the log is up again, because
  # owners can't change without the log. So the region that is cut off owns no engine.
  Scenario: Without the log the regions that hold the majority go on
    When the log goes down and a region that owns no engine is cut off
    Then within 5 s each daemon of that region refuses a request with a key as not run
    And each other daemon answers a request with a key after 6 s without the log, and is fresh
    When the log is up again and the partition heals
    Then within 15 s each daemon of regions "abc" answers a request with a key
