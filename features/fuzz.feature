Feature: Any input is accepted or refused, and never causes another failure

  Scenario: Any bytes as a record leave each fold able to go on
    When any bytes stand between valid records of the configuration and view streams
    Then each fold skips and counts them and applies the valid ones

  Scenario: Any configuration text is accepted or refused with its faults
    When any text is parsed as a configuration
    Then it is parsed, or refused with at least one fault

  Scenario: A configuration printed and parsed is the same, byte for byte
    When any valid configuration is printed and parsed again
    Then text and digest are the same

  Scenario: Any body of a completion is accepted or refused as invalid
    When any JSON document is read as a completion or a chat
    Then it has a prompt and a limit, or is refused as an invalid request

  Scenario: Any Authorization header is split or refused
    When any text is read as an Authorization header
    Then it yields a name and a secret, or is refused as not authenticated
