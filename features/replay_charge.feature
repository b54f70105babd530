Feature: A repeat that runs nothing costs its workspace nothing

  Scenario Outline: What an action is charged
    Given a route of 7 tokens whose action <claim>
    When the action is called
    Then the workspace is charged <charged> tokens

    Examples:
      | claim                     | charged |
      | may run                   | 7       |
      | has run before            | 0       |
      | has run, response dropped | 0       |
      | is in progress            | 0       |
      | has an unknown outcome    | 0       |
      | may run, response lost    | 7       |
