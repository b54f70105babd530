Feature: A repeat that runs nothing costs its workspace nothing

  Scenario Outline: What an action is charged
    Given a route of 7 tokens whose action <claimed>
    When it is called
    Then the workspace has paid <paid> tokens

    Examples:
      | claimed                 | paid |
      | may run                 | 7    |
      | has run before          | 0    |
      | has run, answer dropped | 0    |
      | is in progress          | 0    |
      | has an unknown outcome  | 0    |
      | may run, answer lost    | 7    |
