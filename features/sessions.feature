Feature: Callers find a daemon and are kept apart from each other

  Scenario: A session moves on when its daemon is killed
    Given a session on a fleet of 2 daemons that was opened with the first address only
    When the daemon that the session uses is killed
    Then the session's next request is answered by the other daemon

  Scenario Outline: A session repeats only what may be repeated
    Given a session on two daemons, the first of which answers <call> with <answer>
    Then <call> is sent <times> times and ends as <end> after waiting <wait_s> s

    Examples:
      | call                    | answer             | times | end        | wait_s |
      | a completion            | 503 not_run        | 2     | 200        | 2      |
      | a completion            | 503 unknown        | 1     | 503        | 0      |
      | a completion            | 429 not_run        | 1     | 429        | 0      |
      | a completion            | a lost response    | 2     | 200        | 0      |
      | an action               | 503 not_run        | 2     | 200        | 2      |
      | an action               | 502 unknown        | 1     | 502        | 0      |
      | an action               | a lost response    | 1     | an error   | 0      |
      | a keyed action          | a lost response    | 2     | 200        | 0      |

  Scenario: Workspaces are kept apart
    Given a session for each of two workspaces on one daemon
    When each sends the same prompt twice
    Then prefix-cache salts are equal within a workspace and differ between workspaces
    And neither can list the other's models or detect its adapters by an error
