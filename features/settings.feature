Feature: Settings files are read with positions and checked as a whole

  Scenario Outline: The example deployment files are right
    When the settings file "<file>" is loaded
    Then the settings have no problem

    Examples:
      | file                             |
      | examples/vestfjell.json          |
      | examples/fremantle.json          |
      | examples/node-benkeportal-1.json |
      | examples/node-benkeportal-2.json |
      | examples/node-lagerbok-1.json    |
      | examples/node-box-office-1.json  |
      | examples/node-box-office-2.json  |

  Scenario: Comments and tabs change no value and no line
    Then settings with comments anywhere equal those without them

  Scenario: A place's setting holds below it unless a lower branch overrides it
    Then effective settings follow the written order of precedence

  Scenario: Few points of the tree bring out the problems of all
    Then the settings checks find what a look at every point would find

  Scenario: Names take no line break at their end
    Then a settings name with a line break at its end is refused

  Scenario: Each effective value is explained by the line that gave it
    When the settings file "examples/vestfjell.json" is loaded
    Then the settings explain these lines for "benkeportal" in "vestland/forde-c"
      | setting                | value | branch             | text                   |
      | limits.slots           | 20    | deployment         | "slots": 20            |
      | cold_start.duration_s  | 60.0  | vestland/forde-c   | "duration_s": 60       |
      | ledger.window_s        | 900.0 | deployment, service benkeportal | "window_s": 900 |
      | retries.attempts       | 3     | built-in default   |                        |

  Scenario Outline: Paths are matched in one spelling
    Then the settings pattern "<pattern>" and the target "<target>" give <covered>

    Examples:
      | pattern    | target               | covered |
      | /prices/** | /prices/7            | true    |
      | /prices/** | /prices              | true    |
      | /prices/** | /a/../prices/7       | true    |
      | /prices/** | //prices//7?x=1      | true    |
      | /prices/** | /%70rices/7          | true    |
      | /prices/** | /pricesx             | false   |
      | /shows/*/seats | /shows/7/seats   | true    |
      | /shows/*/seats | /shows/7/8/seats | false   |
      | /a.c       | /abc                 | false   |

  Scenario: A request whose path has an unusual spelling counts as non-idempotent
    When the settings file "examples/vestfjell.json" is loaded
    Then the settings find these requests of "benkeportal" idempotent
      | method | target              | idempotent |
      | GET    | /catalogue/frames   | true       |
      | HEAD   | /catalogue/frames?a | true       |
      | POST   | /catalogue/frames   | false      |
      | GET    | /orders/7           | false      |
      | GET    | /catalogue/../orders/7 | false   |
      | GET    | /catalogue/%2e%2e/orders | false |
      | GET    | /catalogue%2Forders | false      |

  Scenario: Tenants are told by their header and kept from others' paths
    When the settings file "examples/vestfjell.json" is loaded
    Then the settings let "own-service" use "/prices/7" of "lagerbok"
    And the settings keep "yard" from "/prices/7" of "lagerbok"
    And the settings keep "" from "//prices/%37" of "lagerbok"

  Scenario Outline: Every mistake of a file is reported at once with its line
    When the settings file "features/settings_files/<file>" is loaded
    Then the settings problems are the ones that the file's comments want
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

  Scenario: A comment that is never closed is a mistake in its file
    When the settings file "features/settings_files/comment.node.json" is loaded
    Then the settings problems have only the code "syntax"

  Scenario: Every code of a settings problem is tested by a file
    Then the settings files want every code that the checks know

  Scenario: Any text is either settings or problems, never a crash
    Then arbitrary and damaged settings texts give settings or problems

  Scenario: The committed schemas are those of the types
    Then the settings schemas are current
    And the settings schemas know every name that the example files use

  Scenario: The defaults of the settings are those of the policy
    Then the settings time the lease as the ownership policy does
