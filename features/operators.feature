Feature: The operators' commands change and query the deployment

  Scenario: The first configuration is applied and in force everywhere
    Given an operators' deployment
    When an operator runs "apply examples/fremantle.json"
    Then the command exits with 0
    And the command reports "in force on all 10"

  Scenario: A configuration can be applied before any process is up
    Given an operators' deployment without processes
    When an operator runs "apply examples/fremantle.json"
    Then the command exits with 0
    And the command reports "no process is up yet"

  Scenario: Applying the text in force again changes nothing
    Given an operators' deployment with "examples/fremantle.json" applied
    When an operator runs "apply examples/fremantle.json"
    Then the command exits with 0
    And the command reports "version 1 already has this content"
    And the platform received 1 operators' writes

  Scenario: An invalid file is rejected as a whole and all its problems are reported
    Given an operators' deployment with "examples/fremantle.json" applied
    When an operator runs "apply features/settings_files/names.deployment.json --base 1"
    Then the command exits with 3
    And the command reports "10 problems"
    And the platform received 1 operators' writes

  Scenario: A change against an outdated version is a conflict that reports the version in force
    Given an operators' deployment with "examples/fremantle.json" applied
    And a colleague applied a changed file
    When an operator applies another changed file with base 1
    Then the command exits with 4
    And the command reports "version 2 by finn"
    And the command reports "--base 2"
    And the configuration in force is the colleague's

  Scenario: A change without a base never overwrites a configuration
    Given an operators' deployment with "examples/fremantle.json" applied
    When an operator applies another changed file with base 0
    Then the command exits with 4

  Scenario: Of two operators who apply at the same moment, one gets a conflict
    Given an operators' deployment with "examples/fremantle.json" applied
    And a colleague applies a changed file just before the next write
    When an operator applies another changed file with base 1
    Then the command exits with 4
    And the command reports "version 2 by finn"
    And the configuration in force is the colleague's

  Scenario: Each accepted change of concurrent operators is in the history
    Then concurrent operators never lose an accepted change

  Scenario: A write whose answer is lost is recognised as accepted
    Given an operators' deployment with "examples/fremantle.json" applied
    And the platform loses the next 1 answers to writes
    When an operator applies another changed file with base 1
    Then the command exits with 0
    And the command reports "accepted as version 2"
    And the history has the versions 2, 1

  Scenario: A write whose answer is lost and which is then replaced is recognised as accepted
    Given an operators' deployment with "examples/fremantle.json" applied
    And the platform loses the next 1 answers to writes
    And a colleague applies a changed file over the operator's before its second attempt
    When an operator applies another changed file with base 1
    Then the command exits with 0
    And the command reports "accepted as version 2"
    And the history has the versions 3, 2, 1

  Scenario: If the platform never answers, the outcome is reported as unknown
    Given an operators' deployment with "examples/fremantle.json" applied
    And the platform loses the next 1000 requests to write
    When an operator applies another changed file with base 1
    Then the command exits with 7
    And the command reports "may have taken effect"

  Scenario Outline: Each command that needs the platform fails while it is down
    Given an operators' deployment with "examples/fremantle.json" applied
    And the platform is down
    When an operator runs "<command>"
    Then the command exits with 6

    Examples:
      | command                                          |
      | apply examples/vestfjell.json --base 1           |
      | diff examples/vestfjell.json                     |
      | history                                          |
      | status                                           |
      | slices                                           |
      | locate box-office show-7                         |
      | availability-zone out perth-a                    |
      | upstream drain box-office-1                      |
      | explain deployment                               |

  Scenario: Single processes can be queried without the platform
    Given an operators' deployment with "examples/fremantle.json" applied
    And the platform is down
    When an operator runs "status --ask 127.0.0.1:8001"
    Then the command exits with 0
    And the command shows "box-office-1#1"
    When an operator runs "locate box-office show-7 --ask 127.0.0.1:8001"
    Then the command exits with 0
    And the command shows "box-office-1 owns slice"

  Scenario: Lagging processes are listed and the change stays accepted
    Given an operators' deployment with "examples/fremantle.json" applied
    And the process "box-office-2" does not apply new versions
    And the process "show-schedule-1" is unresponsive
    When an operator applies another changed file with base 1
    Then the command exits with 5
    And the command reports "accepted as version 2"
    And the command reports "in force on 8 of 10 processes"
    And the command reports "box-office-2: version 1"
    And the command reports "show-schedule-1: no answer"

  Scenario: A change that running processes can't apply is rejected
    Given an operators' deployment with "examples/fremantle.json" applied
    When an operator applies a file with another slice count and lease time
    Then the command exits with 3
    And the command reports "services.box-office: the number of slices changes from 256 to 128 [unsafe-change]"
    And the command reports "settings.ownership.lease_s: all processes must agree"
    When an operator applies a file with another slice count and lease time, unsafe
    Then the command exits with 0

  Scenario: A rollback creates a new version with the old content
    Given an operators' deployment with "examples/fremantle.json" applied
    And a colleague applied a changed file
    When an operator runs "rollback 1 --base 2"
    Then the command exits with 0
    And the configuration in force is "examples/fremantle.json" as version 3
    And the history has the versions 3, 2, 1
    When an operator runs "rollback 1 --base 2"
    Then the command exits with 0
    When an operator runs "rollback 2 --base 1"
    Then the command exits with 4
    When an operator runs "rollback 9 --base 3"
    Then the command exits with 9

  Scenario: A file is compared by its settings and by its text
    Given an operators' deployment with "examples/fremantle.json" applied
    When an operator runs "diff examples/fremantle.json"
    Then the command shows "equal to version 1"
    When an operator compares a changed file
    Then the command exits with 0
    And the command shows "[deployment] limits.slots: 12 -> 13"
    And the command shows "--base 1"

  Scenario: The file positions of values are kept when a file is applied
    Given an operators' deployment with "examples/fremantle.json" applied
    When an operator runs "explain perth-a --service show-schedule"
    Then the command exits with 0
    And the command shows the line of "default_ms\": 2000" for "deadlines.default_ms"

  Scenario Outline: Missing objects and malformed arguments give their exit codes
    Given an operators' deployment with "examples/fremantle.json" applied
    When an operator runs "<command>"
    Then the command exits with <code>

    Examples:
      | command                                   | code |
      | check missing.json                        | 9    |
      | apply missing.json                        | 9    |
      | explain perth-z                           | 9    |
      | explain perth-a --service nobody          | 9    |
      | explain perth-a --key show-7              | 2    |
      | locate nobody show-7                      | 9    |
      | locate show-schedule show-7               | 9    |
      | slices nobody                             | 9    |
      | availability-zone out perth-z             | 9    |
      | availability-zone in perth-z              | 9    |
      | upstream drain nobody                     | 9    |
      | upstream return nobody                    | 9    |
      | status --ask 127.0.0.1:9                  | 10   |
      | locate box-office a --ask 127.0.0.1:9     | 10   |
      | status --ask here                         | 2    |
      | check examples/fremantle.json             | 0    |
      | check examples/node-box-office-1.json     | 0    |
      | check features/settings_files/node.node.json | 3 |

  Scenario: Before the first configuration the commands report that there is none
    Given an operators' deployment
    When an operator runs "explain deployment"
    Then the command exits with 9
    And the command reports "no configuration has been applied yet"
    When an operator runs "history"
    Then the command exits with 0
    When an operator runs "apply examples/fremantle.json --base 3"
    Then the command exits with 4

  Scenario: Locating a key shows its owner and the reason
    Given an operators' deployment with "examples/fremantle.json" applied
    When an operator runs "locate box-office show-7"
    Then the command exits with 0
    And the command shows "owner in the row: box-office-1#1"
    And the command shows "box-office-1#1 owns it, first in row"
    Given the process "box-office-1" is unresponsive
    And the slice of "show-7" is owned by "box-office-2"
    When an operator runs "locate box-office show-7"
    Then the command shows "box-office-1#1 does not answer"
    And the command shows "box-office-2#1 owns it, successor of a lost owner"
    When an operator runs "locate box-office never-named"
    Then the command shows "no owner was ever assigned to this slice"

  Scenario: Queries print JSON for scripts
    Given an operators' deployment with "examples/fremantle.json" applied
    Then the operators' queries print JSON with these values
      | command                         | path                      | value        |
      | status                          | nodes.0.status.node       | box-office-1 |
      | status                          | config_version            | 1            |
      | history                         | 0.operator                | eva          |
      | slices --node box-office-1      | 0.owner                   | box-office-1#1 |
      | locate box-office show-7        | succession.1.node         | box-office-2 |
      | explain perth-a                 | 0.setting                 | limits.slots |
      | diff examples/fremantle.json    | equal                     | True         |
      | check examples/fremantle.json   |                           | []           |

  Scenario: A zone is taken out and brought back
    Given an operators' deployment with "examples/fremantle.json" applied
    When an operator runs "availability-zone out perth-a --comment flood"
    Then the command exits with 0
    When an operator runs "status"
    Then the command shows "availability zone out: perth-a, by eva"
    When an operator runs "availability-zone out perth-a"
    Then the command exits with 0
    And the command reports "nothing to change"
    When an operator runs "availability-zone in perth-a"
    Then the command exits with 0
    When an operator runs "status --json"
    Then no availability zone is out

  Scenario: A zone whose load the others can't carry is taken out only by force
    Given an operators' deployment with "examples/fremantle.json" applied
    And each process of "box-office" runs 8 requests
    When an operator runs "availability-zone out perth-a"
    Then the command exits with 8
    And the command reports "availability_zone_overload"
    And the command reports "the remaining upstreams of box-office would reach a utilisation of 100%"
    When an operator runs "availability-zone out perth-a --force"
    Then the command exits with 0
    When an operator runs "status"
    Then the command shows "forced"

  Scenario: The last zone can't be taken out even by force
    Given an operators' deployment with "examples/fremantle.json" applied
    When an operator runs "availability-zone out perth-a"
    Then the command exits with 0
    When an operator runs "availability-zone out perth-b"
    Then the command exits with 0
    When an operator runs "availability-zone out perth-c --force"
    Then the command exits with 8
    And the command reports "availability_zone_last"
    And the zones that are out are "perth-a, perth-b"

  Scenario: A zone of unknown load is taken out only by force
    Given an operators' deployment with "examples/fremantle.json" applied
    And all processes of "box-office" are unresponsive
    When an operator runs "availability-zone out perth-a"
    Then the command exits with 8
    And the command reports "availability_zone_load_unknown"
    When an operator runs "availability-zone out perth-a --force"
    Then the command exits with 5
    And the zones that are out are "perth-a"

  Scenario: A process that does not answer counts as having no spare capacity
    Given an operators' deployment with "examples/fremantle.json" applied
    And each process of "box-office" runs 4 requests
    And the process "box-office-1" is unresponsive
    And the process "box-office-2" is unresponsive
    When an operator runs "availability-zone out perth-a"
    Then the command exits with 8

  Scenario: The load is checked again when two operators take out different zones
    Given an operators' deployment with "examples/fremantle.json" applied
    And each process of "box-office" runs 4 requests
    And a colleague takes "perth-b" out just before the next write
    When an operator runs "availability-zone out perth-a"
    Then the command exits with 8
    And the zones that are out are "perth-b"

  Scenario: Two operators who drain different upstreams both succeed
    Given an operators' deployment with "examples/fremantle.json" applied
    And a colleague drains "box-office-2" just before the next write
    When an operator runs "upstream drain box-office-1"
    Then the command exits with 0
    And the upstreams that drain are "box-office-1, box-office-2"
    When an operator runs "upstream return box-office-1"
    Then the command exits with 0
    And the upstreams that drain are "box-office-2"

  Scenario: Of two operators who change the same entry, one gets a conflict
    Given an operators' deployment with "examples/fremantle.json" applied
    And a colleague drains "box-office-1" just before the next write
    When an operator runs "upstream drain box-office-1"
    Then the command exits with 4
    And the command reports "another operator changed box-office-1"

  Scenario: A zone change whose answer is lost is recognised as accepted
    Given an operators' deployment with "examples/fremantle.json" applied
    And the platform loses the next 1 answers to writes
    When an operator runs "availability-zone out perth-a"
    Then the command exits with 0
    And the zones that are out are "perth-a"
