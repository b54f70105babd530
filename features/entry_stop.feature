Feature: Requests around the planned stop of an entry daemon
  A request that a daemon reads after SIGTERM is answered whole, or surely not run.

  # Guards against accepting a stream that takes longer than what is left before the kill.
  Scenario: Streams sent on kept connections late in the grace period aren't cut off
    Given a stopping fleet of 2 daemons whose streams take 1.8 s
    When streams are sent on kept connections each 0.25 s from 1 s to 7.75 s after SIGTERM
    Then each is answered whole or surely not run
    And the daemon is gone before the kill

  # Guards against requests that are taken late in the grace period and end with no answer.
  Scenario Outline: Payments sent late in the grace period aren't cut off (<daemons>)
    Given a stopping fleet of <daemons> whose streams take 0.2 s
    And it has answered 25 payments
    When payments of 3.5 s are sent on kept connections each 0.25 s from 1 s to 7.75 s after SIGTERM
    Then each is answered whole or surely not run
    And the daemon is gone before the kill

    Examples:
      | daemons   |
      | 1 daemon  |
      | 2 daemons |

  # Guards against reading requests between the check that none is in flight and the exit.
  Scenario: Streams that arrive once the daemon has found itself idle aren't cut off
    Given a stopping fleet of 2 daemons whose streams take 1.8 s
    When streams are sent on kept connections as soon as the daemon has found itself idle
    Then each is answered whole or surely not run
    And the daemon is gone before the kill

  # Guards against cutting off callers that connect again from an old copy of the directory.
  Scenario: Callers that open connections until the process is gone get whole answers
    Given a stopping fleet of 2 daemons whose streams take 3.3 s
    When streams and short requests are sent on new connections from 2 s after SIGTERM on
    Then each is answered whole or surely not run
    And the daemon is gone before the kill

  # Guards against accepting a stream by the time that others took: a stream that has begun
  # can't end with an error.
  Scenario: Streams that take longer than usual aren't cut off while no other daemon is ready
    Given a stopping fleet of 1 daemon whose streams take 0.2 s
    And it has answered 25 streams before they take 3.5 s
    When a stream is sent 2.3 s after SIGTERM, and others on new connections from 3.8 s on
    Then each is answered whole or surely not run
    And the daemon is gone before the kill

  # Guards against an end without an answer for requests that outlast the grace period.
  Scenario: Requests that outlast the grace period get an answer before the kill
    Given a stopping fleet of 2 daemons whose streams take 60 s
    When a request and a stream without a first event run as SIGTERM comes
    Then both get a whole answer with status 504
    And the daemon is gone before the kill

  # Guards against running requests that are read after a server has begun to close.
  Scenario: A server that closes while a request runs begins no other request
    Given a server whose requests take as long as they say
    When it closes while a request of 0.6 s runs and one of 3 s arrives 0.3 s later
    Then the running request gets a whole answer
    And the request that arrived later hasn't begun

  # Guards against accepting requests that may outlast the daemon, at any time of a stop.
  Scenario: In generated stops no request begins that may outlast the daemon
    Then a request that a stopping daemon accepts ends before it, as far as is known
    And a request that must end before the daemon is accepted at any time of the stop

  # Guards against cutting off answers that callers read slowly when the time of day jumps.
  Scenario: A jump of the time of day ends no connection whose answer is being read
    Given a server with an answer of 64 MB of which its caller has read the beginning
    When the time of day jumps by an hour
    Then the caller gets the whole answer

  # Guards against a daemon that a signal ends while it starts.
  Scenario Outline: A signal while a daemon starts doesn't end it by that signal
    Given a stopping fleet of 1 daemon whose streams take 1 s
    When another daemon gets <signal> <delay> s after its start
    Then it <end>

    Examples:
      | signal  | delay | end                |
      | SIGTERM | 0.15  | ends with status 0 |
      | SIGTERM | 0.5   | ends with status 0 |
      | SIGHUP  | 0.15  | becomes ready      |
      | SIGHUP  | 0.5   | becomes ready      |
