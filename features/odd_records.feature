Feature: One odd record among those of the endpoints costs no other one

  # Guards against daemons that end, or stop following the endpoints, on a record of another writer.
  Scenario Outline: A record is <odd> as an engine joins
    Given a fleet of 1 daemon with 1 engine
    When a record that is <odd> is written, and then an engine joins
    Then requests are served all the while, and the engine is used within 4 s
    And the daemon has logged no unexpected error

    Examples:
      | odd                              |
      | nested 100,000 deep              |
      | good but for a value nested deep |
      | a number of 6,000 digits         |
      | good but for infinite slots      |
      | good but for a huge count        |
      | good but for port 70000          |
      | good but for a host out of range |
      | good but for a state in a list   |
      | good but for a state in an object |

  # Guards against an odd record that hides all records after it from daemons that start.
  Scenario Outline: Daemons start after a record that is <odd>
    Given a fleet of 1 daemon with 2 engines
    When a record that is <odd> is written before theirs, and all daemons are killed and come back
    Then requests are served at both engines
    And the daemon has logged no unexpected error

    Examples:
      | odd                               |
      | good but for a state in a list    |
      | good but for a state in an object |
      | good but for a nested zone        |

  # Guards against a type of a field that a decoder doesn't expect.
  Scenario: Each field of a record has each type that JSON has
    Then each decoder of the platform's documents takes the document or raises its own error

  Scenario: Each field of a record is nested as deeply as its text can be read
    Then each decoder of the platform's documents takes the document or raises its own error, however deep

  # Guards against a record that ends the handling of those beside it, whatever fails.
  Scenario Outline: The handling of one of three <records> fails
    Given a daemon's <records>, one of which can't be handled
    When the records are applied
    Then the two others are in force
    And the failure is logged once, with the record's key

    Examples:
      | records      |
      | endpoints    |
      | declarations |
      | members      |
      | streams      |

  # Guards against requests that fail in the daemon since their only endpoint can't have its address.
  Scenario: The only endpoint of a group has a port out of range
    Given a fleet of 1 daemon with 1 engine
    When the record of the ledger names port 70000
    Then look-ups are refused as not run within 0.5 s

  # Guards against other lists that daemons follow.
  Scenario: Declarations, versions and reports are nested deeply or infinite
    Then no decoder of the platform's documents raises anything but its own error
