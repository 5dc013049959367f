Feature: Operators change and read the deployment by commands with exit codes

  Scenario: The first configuration is applied and in force everywhere
    Given an operators' deployment
    When an operator runs "apply examples/fremantle.json"
    Then the command exits with 0
    And the command notes "in force on all 10"

  Scenario: A configuration can be applied before any process is up
    Given an operators' deployment without processes
    When an operator runs "apply examples/fremantle.json"
    Then the command exits with 0
    And the command notes "no process is up yet"

  Scenario: Applying the same text again changes nothing
    Given an operators' deployment with "examples/fremantle.json" applied
    When an operator runs "apply examples/fremantle.json"
    Then the command exits with 0
    And the command notes "version 1 has this content already"
    And the platform took 1 operators' writes

  Scenario: A wrong file is refused as a whole with all its problems
    Given an operators' deployment with "examples/fremantle.json" applied
    When an operator runs "apply features/settings_files/names.deployment.json --base 1"
    Then the command exits with 3
    And the command notes "10 problems"
    And the platform took 1 operators' writes

  Scenario: A change against an outdated version is a conflict that names the other
    Given an operators' deployment with "examples/fremantle.json" applied
    And a colleague applied a changed file
    When an operator applies another changed file with base 1
    Then the command exits with 4
    And the command notes "version 2 by finn"
    And the command notes "--base 2"
    And the configuration in force is the colleague's

  Scenario: Forgetting the base never overwrites
    Given an operators' deployment with "examples/fremantle.json" applied
    When an operator applies another changed file with base 0
    Then the command exits with 4

  Scenario: Two operators who apply at the same moment: one wins, one is told
    Given an operators' deployment with "examples/fremantle.json" applied
    And a colleague applies a changed file just before the next write
    When an operator applies another changed file with base 1
    Then the command exits with 4
    And the command notes "version 2 by finn"
    And the configuration in force is the colleague's

  Scenario: Whatever operators race, each accepted change stands in the history
    Then racing operators never lose an accepted change

  Scenario: An answer lost after the write took effect is found out
    Given an operators' deployment with "examples/fremantle.json" applied
    And the platform loses the next 1 answers to writes
    When an operator applies another changed file with base 1
    Then the command exits with 0
    And the command notes "accepted as version 2"
    And the history has the versions 2, 1

  Scenario: An answer lost and the change replaced meanwhile is found out
    Given an operators' deployment with "examples/fremantle.json" applied
    And the platform loses the next 1 answers to writes
    And a colleague applies a changed file over the operator's before its second try
    When an operator applies another changed file with base 1
    Then the command exits with 0
    And the command notes "accepted as version 2"
    And the history has the versions 3, 2, 1

  Scenario: A platform that stays silent leaves the outcome unknown, and says so
    Given an operators' deployment with "examples/fremantle.json" applied
    And the platform loses the next 1000 requests to write
    When an operator applies another changed file with base 1
    Then the command exits with 7
    And the command notes "may have taken effect"

  Scenario Outline: Without the platform nothing is claimed
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

  Scenario: Single processes answer without the platform
    Given an operators' deployment with "examples/fremantle.json" applied
    And the platform is down
    When an operator runs "status --ask 127.0.0.1:8001"
    Then the command exits with 0
    And the command shows "box-office-1#1"
    When an operator runs "locate box-office show-7 --ask 127.0.0.1:8001"
    Then the command exits with 0
    And the command shows "box-office-1 owns slice"

  Scenario: Who lags is named, and the change stays accepted
    Given an operators' deployment with "examples/fremantle.json" applied
    And the process "box-office-2" does not take new versions over
    And the process "show-schedule-1" is silent
    When an operator applies another changed file with base 1
    Then the command exits with 5
    And the command notes "accepted as version 2"
    And the command notes "in force on 8 of 10"
    And the command notes "box-office-2: version 1"
    And the command notes "show-schedule-1: no answer"

  Scenario: What running processes can't take over is refused
    Given an operators' deployment with "examples/fremantle.json" applied
    When an operator applies a file with other slices and lease times
    Then the command exits with 3
    And the command notes "services.box-office: the number of slices changes from 256 to 128 [unsafe-change]"
    And the command notes "settings.ownership.lease_s: all processes must agree"
    When an operator applies a file with other slices and lease times, unsafe
    Then the command exits with 0

  Scenario: A rollback is a new version with old content
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

  Scenario: A file is compared by meaning and by text
    Given an operators' deployment with "examples/fremantle.json" applied
    When an operator runs "diff examples/fremantle.json"
    Then the command shows "equal to version 1"
    When an operator compares a changed file
    Then the command exits with 0
    And the command shows "[deployment] limits.slots: 12 -> 13"
    And the command shows "--base 1"

  Scenario: Positions of values survive being applied
    Given an operators' deployment with "examples/fremantle.json" applied
    When an operator runs "explain perth-a --service show-schedule"
    Then the command exits with 0
    And the command shows the line of "default_ms\": 2000" for "deadlines.default_ms"

  Scenario Outline: What does not exist is said so
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

  Scenario: Before the first configuration the commands say so
    Given an operators' deployment
    When an operator runs "explain deployment"
    Then the command exits with 9
    And the command notes "no configuration was applied yet"
    When an operator runs "history"
    Then the command exits with 0
    When an operator runs "apply examples/fremantle.json --base 3"
    Then the command exits with 4

  Scenario: Locating a key says who serves it and why
    Given an operators' deployment with "examples/fremantle.json" applied
    When an operator runs "locate box-office show-7"
    Then the command exits with 0
    And the command shows "owner named: box-office-1#1"
    And the command shows "box-office-1#1 owns it, named first"
    Given the process "box-office-1" is silent
    And the slice of "show-7" is owned by "box-office-2"
    When an operator runs "locate box-office show-7"
    Then the command shows "box-office-1#1 gives no answer"
    And the command shows "box-office-2#1 owns it, successor of a lost owner"
    When an operator runs "locate box-office never-named"
    Then the command shows "nobody was ever named for this slice"

  Scenario: Queries give JSON that scripts can read
    Given an operators' deployment with "examples/fremantle.json" applied
    Then the operators' queries give JSON with these values
      | command                         | path                      | value        |
      | status                          | nodes.0.status.node       | box-office-1 |
      | status                          | config_version            | 1            |
      | history                         | 0.operator                | eva          |
      | slices --node box-office-1      | 0.owner                   | box-office-1#1 |
      | locate box-office show-7        | succession.1.node         | box-office-2 |
      | explain perth-a                 | 0.setting                 | limits.slots |
      | diff examples/fremantle.json    | equal                     | True         |
      | check examples/fremantle.json   |                           | []           |

  Scenario: A zone is taken out and comes back
    Given an operators' deployment with "examples/fremantle.json" applied
    When an operator runs "availability-zone out perth-a --comment flood"
    Then the command exits with 0
    When an operator runs "status"
    Then the command shows "availability zone out: perth-a, by eva"
    When an operator runs "availability-zone out perth-a"
    Then the command exits with 0
    And the command notes "nothing to change"
    When an operator runs "availability-zone in perth-a"
    Then the command exits with 0
    When an operator runs "status --json"
    Then no availability zone is out

  Scenario: A zone that the others can't do without stays, unless forced
    Given an operators' deployment with "examples/fremantle.json" applied
    And each process of "box-office" runs 8 requests
    When an operator runs "availability-zone out perth-a"
    Then the command exits with 8
    And the command notes "availability_zone_overload"
    And the command notes "the remaining upstreams of box-office would reach a utilisation of 100%"
    When an operator runs "availability-zone out perth-a --force"
    Then the command exits with 0
    When an operator runs "status"
    Then the command shows "forced"

  Scenario: The last zone stays even when forced
    Given an operators' deployment with "examples/fremantle.json" applied
    When an operator runs "availability-zone out perth-a"
    Then the command exits with 0
    When an operator runs "availability-zone out perth-b"
    Then the command exits with 0
    When an operator runs "availability-zone out perth-c --force"
    Then the command exits with 8
    And the command notes "availability_zone_last"
    And the zones that are out are "perth-a, perth-b"

  Scenario: A load that nobody tells needs force
    Given an operators' deployment with "examples/fremantle.json" applied
    And all processes of "box-office" are silent
    When an operator runs "availability-zone out perth-a"
    Then the command exits with 8
    And the command notes "availability_zone_load_unknown"
    When an operator runs "availability-zone out perth-a --force"
    Then the command exits with 5
    And the zones that are out are "perth-a"

  Scenario: A process without an answer is no help when a zone leaves
    Given an operators' deployment with "examples/fremantle.json" applied
    And each process of "box-office" runs 4 requests
    And the process "box-office-1" is silent
    And the process "box-office-2" is silent
    When an operator runs "availability-zone out perth-a"
    Then the command exits with 8

  Scenario: Two operators who take different zones out: the load is checked again
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

  Scenario: Two operators who change the same entry: one is told
    Given an operators' deployment with "examples/fremantle.json" applied
    And a colleague drains "box-office-1" just before the next write
    When an operator runs "upstream drain box-office-1"
    Then the command exits with 4
    And the command notes "another operator changed box-office-1"

  Scenario: A zone's change whose answer is lost is found out
    Given an operators' deployment with "examples/fremantle.json" applied
    And the platform loses the next 1 answers to writes
    When an operator runs "availability-zone out perth-a"
    Then the command exits with 0
    And the zones that are out are "perth-a"
