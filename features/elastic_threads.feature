Feature: Threads start with the work and end when they are idle

  # Guards against a fleet whose daemons have a thread for each request they might get.
  Scenario: A pool grows with the work and shrinks without it
    Given a pool of at most 8 threads that end after 0.2 s
    When 5 pieces of work run at once
    Then it had 5 threads
    And 1 s later it has none

  Scenario: More work than threads
    Given a pool of at most 3 threads that end after 0.2 s
    When 20 pieces of work run at once
    Then it had 3 threads
    And all 20 pieces were done

  # Guards against threads that a round robin keeps busy for a moment each.
  Scenario: Little work after much
    Given a pool of at most 8 threads that end after 0.3 s
    When 8 pieces of work run at once
    And one piece of work comes each 0.05 s for 1 s
    Then it has at most 2 threads

  Scenario: Work that fails, and a closed pool
    Given a pool of at most 1 threads that end after 5 s
    When a piece of work fails
    Then its future has the failure and the next work is done
    And after its close what waits is cancelled and what runs is finished

  # Guards against threads at rest that grow with what a daemon may get.
  Scenario: A daemon at rest
    Given a fleet of 3 daemons that has served 30 requests
    When nothing has come for 7 s
    Then each daemon has at most 16 threads
