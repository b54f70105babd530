Feature: Callers outside the limits don't end a daemon

  # Guards against a daemon that ends because a crowd of callers takes all its memory, its files
  # under the temporary folder, or its descriptors. The crowd and the bounds stay as they are.
  Scenario Outline: A crowd sends <form>, <keys>
    Given a daemon with low limits
    When a crowd of 80 callers sends <form>, <keys>
    Then the daemon runs, its memory and files grew by less than 32 MB and its descriptors are at most 112
    And no incomplete request of the crowd has reached an endpoint
    And an ordinary request is answered

    Examples:
      | form                                            | keys         |
      | large chunks that stop short of their end       | with keys    |
      | large chunks that stop short of their end       | without keys |
      | chunks of one byte that stop short of their end | with keys    |
      | chunks of one byte that stop short of their end | without keys |
      | bodies whose announced length is over the limit | with keys    |
      | chunked bodies far over the limit               | with keys    |
      | chunked bodies far over the limit               | without keys |
      | whole bodies of legal size                      | with keys    |
      | whole bodies of legal size                      | without keys |
      | legal bodies that stop short of their end       | with keys    |
      | legal bodies that stop short of their end       | without keys |
      | legal bodies piece by piece                     | with keys    |
      | legal bodies piece by piece                     | without keys |
      | endless chunk extensions                        | with keys    |
      | endless trailers                                | with keys    |
      | nothing                                         | without keys |
      | half a head                                     | with keys    |
      | a head one byte at a time                       | with keys    |
      | all of these forms                              | mixed keys   |

  # Guards against a crowd at the other servers that callers or daemons reach. The crowd and the
  # bounds stay as they are.
  Scenario Outline: A crowd at the <server> sends <form>
    Given a daemon with low limits
    When a crowd of 80 callers at the <server> sends <form>
    Then the daemon runs, its memory and files grew by less than 32 MB and its descriptors are at most 112
    And no incomplete request of the crowd has reached an endpoint
    And an ordinary request is answered
    And the directory and the readiness check answer

    Examples:
      | server              | form                                            |
      | directory           | nothing                                         |
      | directory           | half a head                                     |
      | directory           | a head one byte at a time                       |
      | directory           | large heads                                     |
      | directory           | large chunks that stop short of their end       |
      | directory           | chunks of one byte that stop short of their end |
      | directory           | legal bodies that stop short of their end       |
      | directory           | all of these forms                              |
      | readiness check     | nothing                                         |
      | readiness check     | all of these forms                              |
      | metrics             | all of these forms                              |
      | forwarding server   | nothing                                         |
      | forwarding server   | large chunks that stop short of their end       |
      | forwarding server   | whole bodies of legal size                      |
      | forwarding server   | all of these forms                              |

  # Guards against responses that nobody reads, and requests that are sent ahead.
  Scenario Outline: A crowd sends <form>, and reads nothing
    Given a daemon with low limits
    And the answers of the plain service have 1 MB
    When a crowd of 80 callers sends <form>, with keys
    Then the daemon runs, its memory and files grew by less than 32 MB and its descriptors are at most 112
    And an ordinary request is answered

    Examples:
      | form                         |
      | requests for large answers   |
      | many requests ahead          |

  # Guards against limits that refuse a caller who keeps to the declared ones.
  Scenario: Single legal bodies in calm
    Given a daemon with low limits
    Then a body of the declared size is served, with its length, in large chunks and slowly
    And a body in chunks of one byte is served

  # Guards against a body that is read, and held, for a caller who gets a refusal in any case.
  Scenario: A head that is refused
    Given a daemon with low limits
    Then heads without a key, without a route or with too long a body are refused before a body comes

  # Guards against a body that holds its connection and its memory for good.
  Scenario: A body that never ends
    Given a daemon with low limits
    Then a body that stops short of its end gets 408 and isn't executed
