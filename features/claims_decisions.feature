Feature: Claims decide by log order alone who runs an action

  Scenario: The fold of claims agrees with a naive one over generated streams
    When 400 generated claims streams are folded, restored from snapshots and folded naively
    Then all claims folds agree after every record

  Scenario: An action runs at most once in every generated history of racing daemons
    When 1000 generated histories of claims are played by 3 daemons
    Then in none of them an action ran twice or a refusal as not run was false
    And the histories of claims covered runs, replays, crashes, lost answers and takeovers

  Scenario: A departed daemon is taken over only on a view read after its claim was seen
    When a claim of an unknown daemon is seen before and after the view is read again
    Then it is taken over only after, and only by the home
