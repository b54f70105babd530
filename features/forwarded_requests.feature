Feature: Requests are forwarded between daemons as their callers sent them

  Background:
    Given a fleet of 3 daemons and 2 engines whose links can be cut
    And the first daemon has lost its links to all endpoints

  # Guards against what one daemon tells another that reaches endpoints or callers, and against
  # callers who send that themselves.
  Scenario: Endpoints and callers see nothing of the way that a request took
    When 8 requests are sent to the first daemon with headers of a forwarded one
    Then all are served, and the endpoints got the callers' ids, workspace and time
    And neither endpoints nor callers got a key or a header between daemons

  # Guards against quotas that are charged twice, by the daemon that got a request and the next.
  Scenario: A forwarded request is charged once
    When 8 requests are sent to the first daemon with headers of a forwarded one
    Then the fleet has charged the tokens of 8 requests

  # Guards against engines that work on for callers who have left.
  Scenario: The caller of a forwarded stream leaves
    When the caller of a forwarded stream leaves after its first event
    Then the engine's run ends within 0.5 s

  # Guards against streams that end with the daemon to which they were forwarded, or go on at
  # engines of another software version.
  Scenario: The daemon to which a stream was forwarded is killed
    When the other daemon of a forwarded stream is killed after its first event
    Then the stream goes on at another daemon and has each event once

  # Guards against unsafe requests that run twice, or are refused after they may have run.
  Scenario: The answer to a forwarded request is lost
    When the other daemon is killed while an unsafe request runs for it
    Then the caller is told that it may have run, and it has run once

  # Guards against requests that are passed from daemon to daemon without an end.
  Scenario: Two daemons have lost their links
    When the second daemon loses its links and requests are sent to the first one
    Then all are served by the third one
