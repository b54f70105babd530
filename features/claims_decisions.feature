Feature: The order of claims in the log alone decides which daemon executes an action

  Scenario: The fold of claims agrees with a naive one over generated streams
    When 400 generated claims streams are folded, restored from snapshots and folded naively
    Then all claims folds agree after every record

  Scenario: Racing daemons execute an action at most once in every generated history
    When 1000 generated histories of claims are simulated with 3 daemons
    Then no action was executed twice and no request refused as not run was executed
    And the histories covered executions, replays, crashes, lost responses and takeovers

  Scenario: A departed daemon's claim is taken over only by a view read after it was seen
    When a claim of an unknown daemon is seen before and after the view is read again
    Then the claim is taken over only after the second read, and only by the owner
