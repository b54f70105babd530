Feature: The view and freshness with real daemons

  Scenario: A killed member expires, a thawed one joins again
    Given 3 daemons in one view
    When daemon "entry-1" is killed
    Then within 15 s the view of "entry-2" has 2 members, without "entry-1"
    When daemon "entry-3" is frozen until it has expired and then thawed
    Then within 15 s the view of "entry-2" has 2 members, with a new "entry-3"

  Scenario: Without the log the daemons keep each other fresh
    Given 3 daemons in one view
    When the log goes down for 6 s
    Then all daemons stayed fresh

  Scenario: Cut off from log and peers a daemon stops being fresh
    Given 3 daemons in one view
    When the log is down and the daemons "entry-2" and "entry-3" are killed
    Then "entry-1" is not fresh within 5 s

  Scenario: A daemon joins although the log lost its answer or was down
    Given 3 daemons in one view
    When the log drops the next record and daemon "entry-4" starts
    Then within 15 s the view of "entry-1" has 4 members, with one "entry-4"

  Scenario: No daemon owns a resource while another may act as its owner
    Then in 300 generated histories of outages, freezes and network partitions no resource has two owners
    And in 300 more no engine that ignores fencing gets orders from two owners
    And each view's witnesses are at most 7, spread over the failure domains
    And whatever the clock rates no view is fenced by its age while witnesses may replace the log in it
    And a view whose witnesses are gone is fenced by its age after 903 s

  Scenario: A daemon whose join took effect, but whose answer was lost, is a member once
    Given 3 daemons in one view
    When the log loses the answer to the next record and daemon "entry-4" starts
    Then within 15 s the view of "entry-1" has 4 members, with one "entry-4"
    And "entry-4" knows itself as the member that joined, and no later record changed that
    And in 200 generated histories copies of joins change neither members nor epoch
