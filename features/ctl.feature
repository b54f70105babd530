Feature: Operators change, read and forecast the configuration by command

  Scenario: One digest from the file to what is shown, and two racing operators
    Given a fleet of 2 daemons and an operator's folder
    When the operator runs "publish fleet.toml LOG ENTRY-1"
    Then the command ends with code 0 and prints "in force on 2 daemons: 3 sections changed"
    And "check fleet.toml" prints the digest that every daemon holds and "show" prints
    When the operator runs "publish faster.toml LOG ENTRY-1 --base=fleet.toml"
    Then the command ends with code 0 and prints "1 sections changed"
    When the operator runs "publish slower.toml LOG ENTRY-1 --base=fleet.toml"
    Then the command ends with code 3 and one error line with "changed meanwhile: workspaces/house"
    When the operator runs "publish other.toml LOG ENTRY-1 --base=fleet.toml"
    Then the command ends with code 0 and prints "1 sections changed"
    And the configuration in force has both operators' changes
    When the operator runs "diff fleet.toml ENTRY-1"
    Then the command ends with code 0 and prints "~ workspaces/house"
    When the operator runs "history ENTRY-1"
    Then the command ends with code 0 and prints "accepted 1 sections"
    When the operator runs "key withdraw line-1 LOG ENTRY-1"
    Then the command ends with code 0 and prints "in force on 2 daemons: 1 sections changed"
    When the operator runs "key withdraw line-1 LOG ENTRY-1"
    Then the command ends with code 2 and one error line with "there is no key"
    When the operator runs "drain ENTRY-2"
    Then the command ends with code 0 and prints "is draining"
    And daemon 2 of the operator's fleet ends with exit code 0 within 30 s

  Scenario: A publish of which a live member does not tell is reported so
    Given a fleet of 2 daemons and an operator's folder
    When daemon 2 of the operator's fleet is stopped by SIGSTOP
    And the operator runs "publish fleet.toml LOG ENTRY-1,ENTRY-2"
    Then the command ends with code 4 and one error line with "accepted at offset 0; not known of"

  Scenario Outline: Bad input gets one clear line
    Given an operator's folder
    When the operator runs "<command>"
    Then the command ends with code <code> and one error line with "<text>"

    Examples:
      | command                                          | code | text                            |
      | check nothing.toml                               | 2    | nothing.toml                    |
      | check broken.toml                                | 2    | not TOML                        |
      | check negative.toml                              | 2    | line 2: workspaces.house.rate   |
      | check broken.toml --json                         | 2    | not TOML                        |
      | check 1                                          | 2    | 1: No such file                 |
      | check latin.toml                                 | 2    | latin.toml: not UTF-8           |
      | show 127.0.0.1:1                                 | 1    | [show, peer 127.0.0.1:1]        |
      | show 127.0.0.1:1 --json                          | 1    | [show, peer 127.0.0.1:1]        |
      | show nonsense                                    | 2    | not an address                  |
      | show :8001                                       | 2    | not an address                  |
      | diff fleet.toml 127.0.0.1:1                      | 1    | [diff, peer 127.0.0.1:1]        |
      | diff nothing.toml 127.0.0.1:1                    | 2    | nothing.toml                    |
      | diff broken.toml 127.0.0.1:1                     | 2    | not TOML                        |
      | history 127.0.0.1:1                              | 1    | [history, peer 127.0.0.1:1]     |
      | state 127.0.0.1:1                                | 1    | [state, peer 127.0.0.1:1]       |
      | drain 127.0.0.1:1                                | 1    | [drain, peer 127.0.0.1:1]       |
      | drain 127.0.0.1:1 --wait                         | 1    | [drain, peer 127.0.0.1:1]       |
      | entries 127.0.0.1:1                              | 1    | [entries, peer 127.0.0.1:1]     |
      | key new 'line 1' house                           | 2    | 'line 1'                        |
      | key withdraw line-1 127.0.0.1:1 127.0.0.1:1      | 1    | peer 127.0.0.1:1                |
      | key withdraw line-1 nonsense 127.0.0.1:1         | 2    | [key withdraw]                  |
      | publish nothing.toml 127.0.0.1:1 127.0.0.1:1     | 2    | nothing.toml                    |
      | publish broken.toml 127.0.0.1:1 127.0.0.1:1      | 2    | not TOML                        |
      | publish fleet.toml 127.0.0.1:1 127.0.0.1:1       | 1    | [publish, peer 127.0.0.1:1]     |
      | publish fleet.toml 127.0.0.1:1 nonsense          | 2    | [publish]                       |
      | forecast nothing.toml                            | 2    | [forecast]                      |
      | forecast broken.toml                             | 2    | not TOML                        |
      | forecast fleet.toml --month=soon                 | 2    | not as 2027-01                  |
      | forecast fleet.toml --output=cake                | 2    | not table, csv or json          |

  Scenario: A command that fails has published nothing
    Given a fleet of 2 daemons and an operator's folder
    When each command runs and ends with its code and one line
      | command                                          | code | text                        |
      | publish broken.toml LOG ENTRY-1                  | 2    | not TOML                    |
      | publish fleet.toml LOG ENTRY-1 --base=broken.toml | 2   | not TOML                    |
      | publish fleet.toml LOG ENTRY-1 --base=nothing.toml | 2  | nothing.toml                |
      | publish fleet.toml LOG ENTRY-1 --base=faster.toml | 3   | changed meanwhile           |
      | publish fleet.toml 127.0.0.1:1 ENTRY-1           | 1    | peer 127.0.0.1:1            |
      | publish fleet.toml LOG LOG                       | 1    | not the answer of a daemon  |
      | show LOG                                         | 1    | not the answer of a daemon  |
      | state LOG                                        | 1    | not the answer of a daemon  |
      | history LOG                                      | 1    | not the answer of a daemon  |
      | entries LOG                                      | 1    | not the answer of a daemon  |
      | drain LOG                                        | 1    | [drain, peer                |
      | history CALLERS-1                                | 2    | there is no /history        |
      | key withdraw line-1 LOG ENTRY-1                  | 2    | there is no key             |
    Then the log has no publish

  Scenario: Every command prints JSON on request
    Given a fleet of 2 daemons and an operator's folder
    When each command runs and ends with code 0 and JSON that has its fields
      | command                                      | fields                             |
      | check fleet.toml --json                      | digest sections                    |
      | publish fleet.toml LOG ENTRY-1 --json        | publish_id digest changes verdicts |
      | publish fleet.toml LOG ENTRY-1 --json        | publish_id digest changes verdicts |
      | diff faster.toml ENTRY-1 --json              | section change text                |
      | show ENTRY-1 --json                          | text digest next_offset            |
      | history ENTRY-1 --json                       | offset operator is_accepted        |
      | forecast fleet.toml --json                   | workspace most_tokens currency     |
      | forecast fleet.toml --output=json            | workspace most_tokens currency     |
      | state ENTRY-1 --json                         | name view configuration drain      |
      | entries CALLERS-1 --json                     | entries max_age_s                  |
      | key new line-2 house --json                  | name workspace salt digest         |
      | key withdraw line-1 LOG ENTRY-1 --json       | publish_id is_in_force             |
      | drain ENTRY-2 --json                         | daemon has_ended                   |

  Scenario: What takes long tells how far it is on standard error
    Given a fleet of 2 daemons and an operator's folder
    When the operator runs "publish fleet.toml LOG ENTRY-1 --progress"
    Then the command ends with code 0 and prints "in force on 2 daemons"
    And standard error shows "3 sections", "the log has it", "decided on 2 of 2 daemons"
    When the operator runs "drain ENTRY-2 --wait --progress"
    Then the command ends with code 0 and prints "has ended"
    And standard error shows "off the address list, 0 requests", "", ""
    And daemon 2 of the operator's fleet ends with exit code 0 within 1 s

  Scenario: A new key is printed as a section, and only once as itself
    Given an operator's folder
    When the operator runs "key new line-2 house"
    Then the command ends with code 0 and prints "[keys.line-2]"
    And standard error has the key of the printed section and nothing else

  Scenario Outline: Every command explains itself with an example
    Given an operator's folder
    When the operator runs "<command> --help"
    Then the help has "Example: pimentohoistctl <command>"

    Examples:
      | command      |
      | check        |
      | diff         |
      | publish      |
      | show         |
      | history      |
      | forecast     |
      | key new      |
      | key withdraw |
      | state        |
      | drain        |
      | entries      |
      | explain      |

  Scenario Outline: The logs of a played day tell why a request ended as it did
    Given an operator's folder with the logs of a played day
    When the operator runs "explain <id> logs/front-derby-1.log logs/front-derby-2.log logs/front-derby-3.log logs/front-leicester-1.log logs/front-leicester-2.log logs/front-nottingham-1.log"
    Then the command ends with code 0 and prints "<verdict>"
    And it prints "<known>" as known and "<event>" as what happened, in order of time

    Examples:
      | id               | verdict                                                  | known                                       | event                                              |
      | 4192ca4c2f7563b4 | refused by a limit; it has not run                       | configuration in force  step=configuration  | status=429                                         |
      | 068c44d363d15bac | not sent to an endpoint; it has not run                  | partitions held  step=homes generation=6    | front-derby-2      home begins                     |
      | d43e58f64c69010c | the answer broke off                                     | version=4 before=-1 routes=17               | endpoint is silent                                 |
      | 00a1a426389b1566 | sent to an endpoint; whether it has run is not known     | store lost  step=follow topic=keyed.op      | endpoint is silent                                 |

  Scenario Outline: What logs don't tell is said, and the rest is told
    Given an operator's folder with the logs of a played day
    And a log with a cut line, a foreign line, and lines of "pimentohoistd" on the request "abc-1"
    When the operator runs "<command>"
    Then the command ends with code <code>, prints "<explained>" and reports "<missing>"

    Examples:
      | command                                              | code | explained               | missing                             |
      | explain 0123456789abcdef logs/front-derby-3.log      | 1    |                         | no line names the request           |
      | explain 12e45678 logs/front-derby-3.log              | 1    |                         | no line names the request 12e45678  |
      | explain 4192ca4c2f7563b4 logs/front-derby-3.log odd  | 1    | refused by a limit      | odd: 2 lines cut or not of a daemon |
      | explain 4192ca4c2f7563b4 none logs/front-derby-3.log | 2    | refused by a limit      | none: No such file or directory     |
      | explain abc-1 odd                                    | 1    | generation retried      | no line tells how it ended          |
      | explain 4192ca4c2f7563b4                             | 2    |                         | no log was named                    |
      | explain 4192ca4c2f7563b4 logs/front-derby-3.log odd --json | 1 | "verdict": "refused  | odd: 2 lines cut or not of a daemon |

  # Guards against requests whose cause, a restore of the store or what an endpoint asked, is
  # in the logs and isn't shown.
  Scenario: Explanations name a restore of the store and endpoints that leave or are quiet
    Given an operator's folder
    And the log of a daemon whose store was restored, whose engine left and whose ledger asked for no requests
    When the operator runs "explain request-2 entry.log"
    Then the command ends with code 0 and prints "answered"
    And it prints "store era changed  step=store source=store era=2 before=1" as known and "endpoint is leaving: engine-0#1" as what happened, in order of time
    When the operator runs "explain request-3 entry.log"
    Then the command ends with code 0 and prints "not sent to an endpoint; it has not run"
    And it prints "store era changed" as known and "endpoint is leaving: engine-0#1" as what happened, in order of time
    When the operator runs "explain request-5 entry.log"
    Then the command ends with code 0 and prints "not sent to an endpoint; it has not run"
    And it prints "store era changed" as known and "endpoint wants no requests  step=endpoints endpoint=ledger-1" as what happened, in order of time

  # Guards against requests that a stop refused or cut off and that are reported as lost lines.
  Scenario Outline: Explanations tell what a stop of the daemon did to a request
    Given an operator's folder
    And the log of a daemon that stopped while requests ran and others came
    When the operator runs "explain <id> entry.log"
    Then the command ends with code 0 and prints "<verdict>"
    And it prints "<known>" as known and "<event>" as what happened, in order of time
    And it prints no load of another adapter

    Examples:
      | id     | verdict                                                                       | known                                    | event                           |
      | late-1 | front-1: refused by the stop of its daemon; it has not run                    | part of the stop ended  step=stop        | request arrived during the stop |
      | cut-1  | front-1: cut off by the stop of its daemon; whether it has run is not known   | nothing in these logs                    | stopping  step=stop             |
      | cut-2  | front-1: cut off by the stop of its daemon; it was not sent to an endpoint    | nothing in these logs                    | all requests are refused        |

  Scenario: The help lists every command and the exit codes
    Given an operator's folder
    When the operator runs "--help"
    Then the help has "Exit codes: 0 done; 1 failed"

  Scenario: The forecast is rate times the seconds of the month, and one burst
    Given an operator's folder
    When the operator runs "forecast fleet.toml --month=2027-02 --output=csv"
    Then the command ends with code 0 and prints "house,2419205,4.84,EUR"
    When the operator runs "forecast fleet.toml --month=2027-02"
    Then the command ends with code 0 and prints "house          2419205           4.84       EUR"

  Scenario Outline: The example of each deployment is sound and at its true size
    Given an operator's folder
    When the example "<name>" is printed into the folder
    And the operator runs "check <name>.toml"
    Then the command prints the digest of the file with 3000 adapters

    Examples:
      | name      |
      | kavkasia  |
      | trentside |
