Feature: Parts of prompts are quarantined only for crashes that nothing else explains

  # Guards against requests, no two alike, that crash one engine after the other.
  Scenario: Two crashes during requests that share a part
    Given a register of parts
    And an answer has begun on "first subject"
    When an engine crashes on "first subject crashing"
    Then a request with "first subject crashing" is served
    When an engine crashes on "first other crashing"
    Then a request with "first another crashing" is refused for "crashing"
    And a request with "first subject" is served

  # Guards against refusing all callers of a route for its first part.
  Scenario: The first, long and shared part is the one that crashes engines
    Given a register of parts
    And an answer has begun on "other"
    When an engine crashes on "first one"
    And an engine crashes on "first two"
    Then a request with "first three" is refused for "first"
    And a request with "other one" is served

  # Guards against quarantining what was in flight beside the cause.
  Scenario: Sound requests in flight at two crashes
    Given a register of parts
    When an engine crashes with "first crashing" and "first sound" in flight
    And an answer begins on "first sound"
    And an engine crashes with "first crashing" and "first other" in flight
    Then a request with "first crashing" is refused for "crashing"
    And a request with "first sound" is served
    And a request with "first other" is served

  # Guards against quarantining a rare part that was in flight at two crashes by chance.
  Scenario: A rare sound part is in flight at two crashes
    Given a register of parts
    And an answer has begun on "first"
    When an engine crashes with "first crashing" and "first rare" in flight
    And an engine crashes with "first crashing" and "first rare" in flight
    Then a request with "first crashing" is refused for "crashing"
    And a request with "first rare" is served

  # Guards against engines that crash before they send anything.
  Scenario: Crashes before any status line
    Given a register of parts
    When an engine crashes on "crashing" before any status line
    And an engine crashes on "crashing" before any status line
    And an engine crashes on "crashing" before any status line
    Then a request with "crashing" is served
    When an engine crashes on "crashing" before any status line
    Then a request with "crashing" is refused for "crashing"

  # Guards against quarantining the companion of a part, and against quarantining neither.
  Scenario: Two parts that always come together
    Given a register of parts
    When an engine crashes on "subject crashing"
    And an engine crashes on "subject crashing"
    Then a request with "subject crashing" is refused for "subject crashing"
    When 1 s pass
    Then one request with "subject" is tried and the next is refused
    And a request with "subject crashing" is refused for "subject crashing"
    When an answer begins on "subject"
    Then a request with "subject" is served
    And a request with "subject crashing" is refused for "crashing"

  # Guards against missing one of two causes at the same time.
  Scenario: Two parts crash engines at the same time
    Given a register of parts
    And an answer has begun on "first"
    When an engine crashes on "first crashing"
    And an engine crashes on "first fatal"
    And an engine crashes on "first crashing"
    And an engine crashes on "first fatal"
    Then a request with "first crashing" is refused for "crashing"
    And a request with "first fatal" is refused for "fatal"
    And a request with "first" is served

  # Guards against refusing sound requests for long after ordinary crashes.
  Scenario: A part that two ordinary crashes made suspect is tried again
    Given a register of parts
    When an engine crashes on "rare"
    And an engine crashes on "rare"
    Then a request with "rare" is refused for "rare"
    When 10 s pass
    Then one request with "rare" is tried and the next is refused
    When an answer begins on "rare"
    Then a request with "rare" is served

  # Guards against probes that crash engine after engine, and against a quarantine for good.
  Scenario: Probes become rarer and the evidence is forgotten
    Given a register of parts
    When an engine crashes on "crashing"
    And an engine crashes on "crashing"
    And 10 s pass
    Then one request with "crashing" is tried and the next is refused
    When an engine crashes on "crashing"
    And 19 s pass
    Then a request with "crashing" is refused for "crashing"
    And nothing is quarantined 600 s later

  Scenario: Generated histories
    Then in generated histories a part with an answer since its crashes is never quarantined
    And in generated histories the crashing part is refused after its second crash
    And daemons that merge generated reports in any order quarantine the same parts
    And its memory stays bounded over 20000 parts
    And probes of 100 parts, one each 10 s, leave one entry
    And the lifetimes of evidence are limited
