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
