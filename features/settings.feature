Feature: Settings files are parsed with positions and validated as a whole

  Scenario Outline: The example settings files are valid
    When the settings file "<file>" is loaded
    Then the settings have no problems

    Examples:
      | file                             |
      | examples/vestfjell.json          |
      | examples/fremantle.json          |
      | examples/node-benkeportal-1.json |
      | examples/node-benkeportal-2.json |
      | examples/node-lagerbok-1.json    |
      | examples/node-box-office-1.json  |
      | examples/node-box-office-2.json  |

  Scenario: Comments and tabs change neither values nor line numbers
    Then settings with comments equal the same settings without comments

  Scenario: A setting of a place is inherited unless a narrower branch overrides it
    Then effective settings follow the documented precedence

  Scenario: Checking a subset of the combinations misses no problem
    Then the settings checks find the same problems as checks of every combination

  Scenario: A name with a trailing line break is rejected
    Then a settings name with a trailing line break is rejected

  Scenario: Each effective value is traced to the line that sets it
    When the settings file "examples/vestfjell.json" is loaded
    Then the settings explain these values of "benkeportal" in "vestland/forde-c"
      | setting                | value | branch             | text                   |
      | limits.slots           | 20    | deployment         | "slots": 20            |
      | cold_start.duration_s  | 60.0  | vestland/forde-c   | "duration_s": 60       |
      | ledger.window_s        | 900.0 | deployment, service benkeportal | "window_s": 900 |
      | retries.attempts       | 3     | built-in default   |                        |

  Scenario Outline: Paths are matched in canonical form
    Then the settings pattern "<pattern>" matches the target "<target>": <matches>

    Examples:
      | pattern    | target               | matches |
      | /prices/** | /prices/7            | true    |
      | /prices/** | /prices              | true    |
      | /prices/** | /a/../prices/7       | true    |
      | /prices/** | //prices//7?x=1      | true    |
      | /prices/** | /%70rices/7          | true    |
      | /prices/** | /pricesx             | false   |
      | /shows/*/seats | /shows/7/seats   | true    |
      | /shows/*/seats | /shows/7/8/seats | false   |
      | /a.c       | /abc                 | false   |

  Scenario: A request with a non-canonical path counts as non-idempotent
    When the settings file "examples/vestfjell.json" is loaded
    Then the settings classify these requests of "benkeportal"
      | method | target              | idempotent |
      | GET    | /catalogue/frames   | true       |
      | HEAD   | /catalogue/frames?a | true       |
      | POST   | /catalogue/frames   | false      |
      | GET    | /orders/7           | false      |
      | GET    | /catalogue/../orders/7 | false   |
      | GET    | /catalogue/%2e%2e/orders | false |
      | GET    | /catalogue%2Forders | false      |

  Scenario: Tenants are identified by their header and denied restricted paths
    When the settings file "examples/vestfjell.json" is loaded
    Then the settings allow "own-service" to use "/prices/7" of "lagerbok"
    And the settings forbid "yard" to use "/prices/7" of "lagerbok"
    And the settings forbid "" to use "//prices/%37" of "lagerbok"

  Scenario Outline: All problems of a file are reported at once with their lines
    When the settings file "features/settings_files/<file>" is loaded
    Then the settings problems are the ones that the file's comments expect
    And no settings problem shows a secret

    Examples:
      | file                       |
      | names.deployment.json      |
      | types.deployment.json      |
      | values.deployment.json     |
      | references.deployment.json |
      | tree.deployment.json       |
      | node.node.json             |
      | comma.deployment.json      |

  Scenario: An unterminated comment is a syntax error
    When the settings file "features/settings_files/comment.node.json" is loaded
    Then the settings problems have only the code "syntax"

  Scenario: Every problem code of settings files is tested
    Then the settings files expect every code that the checks define

  Scenario: Any text yields settings or problems, not an exception
    Then arbitrary and damaged settings texts yield settings or problems

  Scenario: The committed schemas match the types
    Then the settings schemas are up to date
    And the settings schemas define every name that the example files use

  Scenario: The settings and the ownership policy have the same defaults
    Then the settings have the default lease timing of the ownership policy
