Feature: The adapter to the operator's platform

  Scenario: No name of the platform is used outside the adapter
    Then no other module of the product contains a header, path or kind of the platform

  Scenario: The settings of a process are read, and unknown fields ignored
    Given the settings file from the platform's documentation
    Then the identity of the process matches the file
    And an unknown field changes nothing

  Scenario: The settings say how grants reach the upstream
    Given the settings file from the platform's documentation
    Then grants are carried by calls unless the settings say heartbeat

  Scenario: The settings say whether the deployment starts for the first time
    Given the settings file from the platform's documentation
    Then it is the first start only if the settings say so

  Scenario Outline: Wrong settings raise coded errors
    Given the settings file from the platform's documentation
    When the setting <field> is <broken>
    Then reading it fails with the code <code>

    Examples:
      | field          | broken    | code                |
      | app_addr       | missing   | settings-wrong      |
      | internal_ports | a word    | settings-wrong      |
      | bounds         | a word    | settings-wrong      |
      | bootstrap      | a word    | settings-wrong      |
      | the file       | no TOML   | settings-unreadable |

  Scenario: A configuration is decoded with its split routes
    Given the configuration from the platform's documentation
    Then the route /lohu930/ is split 90 to 10 and idempotent
    And the service huvo11a is keyed and limited to 15 requests a second while cold
    And a configuration without a version is rejected

  Scenario: Members that are malformed or stored under a foreign name are ignored
    Given a store with a valid, a foreign and a malformed member
    Then the records contain only the valid member

  Scenario: An older configuration never replaces a newer one
    Given records that hold version 7 of the configuration
    When the store delivers version 4 at a later revision
    Then version 7 stays in force

  Scenario: A late second answer to a request is not mistaken for the answer to a release
    Given an upstream that answers a request twice, the second time late
    When a request is answered and its keys are released
    Then the release waited for its own answer

  Scenario: A late copy of a rejection without an id does not deny a request that runs
    Given an upstream that repeats a rejection without an id while the next request runs
    When two requests are sent one after the other
    Then the second ends with its own answer

  Scenario: A late rejection of another request is not mistaken for one of this request
    Given an upstream that answers each request with a rejection of another one
    When a request is sent
    Then its outcome is unknown
