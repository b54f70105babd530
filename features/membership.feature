Feature: Membership and freshness of daemon processes

  Scenario: A killed member expires, a thawed one joins again
    Given 3 daemons in one view
    When daemon "entry-1" is killed
    Then within 15 s the view of "entry-2" has 2 members, without "entry-1"
    When daemon "entry-3" is stopped by SIGSTOP until it has expired and then continued
    Then within 15 s the view of "entry-2" has 2 members, with a new "entry-3"

  Scenario: Without the log the daemons keep each other fresh
    Given 3 daemons in one view
    When the log goes down for 6 s
    Then all daemons stayed fresh

  Scenario: Cut off from log and peers a daemon stops being fresh
    Given 3 daemons in one view
    When the log goes down and the daemons "entry-2" and "entry-3" are killed
    Then "entry-1" is not fresh within 5 s

  Scenario: A daemon joins although the log lost its answer or was down
    Given 3 daemons in one view
    When the log drops the next append request and daemon "entry-4" starts
    Then within 15 s the view of "entry-1" has 4 members, with one "entry-4"

  Scenario: No daemon owns a resource while another may act as its owner
    Then in 300 generated histories of outages, freezes and network partitions no resource has two owners
    And in 300 more no engine that ignores fencing gets orders from two owners
    And each view's witnesses are at most 7, spread over the failure domains
    And whatever the clock rates no view is fenced by its age while witnesses may replace the log in it
    And a view whose witnesses are gone is fenced by its age after 903 s

  Scenario: A daemon whose join took effect, but whose answer was lost, is a member once
    Given 3 daemons in one view
    When the log drops the response to the next append and daemon "entry-4" starts
    Then within 15 s the view of "entry-1" has 4 members, with one "entry-4"
    And "entry-4" has the incarnation that joined, and no later record changes its epoch
    And in 200 generated histories duplicate joins change neither members nor epoch
