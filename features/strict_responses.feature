Feature: A response that isn't well-formed is no response

  # Guards against a status or a size that http.client reads leniently, so that a broken
  # response of an endpoint, a daemon or the store counts, or its body ends at the wrong byte.
  Scenario Outline: A malformed <part>
    Then no client takes a response with the <part> <text>
    And each client takes the same response with the <part> <valid>

    Examples:
      | part       | text  | valid |
      | status     | 600   | 200   |
      | status     | 999   | 503   |
      | status     | +200  | 299   |
      | status     | 0200  | 200   |
      | status     | _200  | 200   |
      | status     | 000   | 200   |
      | status     | 20    | 200   |
      | length     | +5    | 5     |
      | length     | -5    | 05    |
      | length     | 0_5   | 5     |
      | length     | 0x5   | 5     |
      | length     | five  | 5     |
      | length     | 5,5   | 5     |
      | chunk size | +5    | 5     |
      | chunk size | 0x5   | 05    |
      | chunk size | 0_5   | 5     |
      | chunk size | -5    | 5     |
      | chunk end  | xy    | CRLF  |

  # Guards against a response with two blanks before its status, or two lengths.
  Scenario: Repeated blanks and lengths
    Then no client takes a status after two blanks, two lengths or an unknown coding

  # Guards against a parser of mail, which drops a line that is no field and all lines behind it,
  # and against lines that reach callers as they came.
  Scenario Outline: A line that isn't well-formed in a <part>
    Then no reader takes a response whose <part> has a line that isn't well-formed
    And a connection that brought a malformed <part> carries no other request

    Examples:
      | part            |
      | head            |
      | status line     |
      | interim head    |
      | trailer section |

  # Guards against a grammar that is narrower than the protocol's.
  Scenario Outline: A <part> that is sound and rare
    Then each reader takes a response whose <part> is sound and rare

    Examples:
      | part            |
      | head            |
      | status line     |
      | interim head    |
      | trailer section |

  # Guards against an octet that a list of bad ones doesn't name, and against one too many.
  Scenario: Each octet in a name and in a value
    Then each reader takes just the octets that a token and a value may have

  # Guards against checks of a line that see only the part of it that has arrived.
  Scenario: Heads in small packets and with other ends of lines
    Then heads that come byte by byte are taken if they are sound, else refused
    And each reader takes a head whose lines end in a line feed alone

  # Guards against an era or an offset of the store that counts although its head is malformed.
  Scenario: The store sends a head with a line that isn't a field
    Then a store whose answer has such a line has told neither an era nor records

  # Guards against an early response without a length that looks complete, since the error of
  # its reset was reported to the upload that was still being written.
  Scenario Outline: An early 200 without a length is reset during a long upload
    Then an upload of <size> bytes whose connection is reset after <read> bytes has no response

    Examples:
      | size     | read    |
      | 16000000 | 0       |
      | 16000000 | 65536   |
      | 16000000 | 4000000 |
      | 100000   | 0       |
      | 100000   | 50000   |
