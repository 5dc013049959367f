Feature: The adapter to the operator's platform

  Scenario: No name of the platform stands outside the adapter
    Then no other module of the product has a header, path or kind of the platform

  Scenario: The settings of a process are read, and unknown fields ignored
    Given the settings file of the pages' example
    Then the identity of the process is what the file says
    And an unknown field changes nothing

  Scenario Outline: Wrong settings are coded errors
    Given the settings file of the pages' example
    When the setting <field> is <broken>
    Then reading it fails with the code <code>

    Examples:
      | field          | broken    | code                |
      | app_addr       | missing   | settings-wrong      |
      | internal_ports | a word    | settings-wrong      |
      | bounds         | a word    | settings-wrong      |
      | the file       | no TOML   | settings-unreadable |

  Scenario: A configuration is decoded with its split routes
    Given the configuration of the pages' example
    Then the route /lohu930/ is split 90 to 10 and idempotent
    And the service huvo11a is keyed and bears 15 a second while cold
    And a configuration without its version is unreadable

  Scenario: An entry that can't be read names nothing
    Given a store with a good, a foreign and a broken member
    Then the records name the good member only

  Scenario: An older configuration never replaces a newer one
    Given records that know version 7 of the configuration
    When the store gives version 4 at a later revision
    Then version 7 stays in force

  Scenario: A late answer to a request is not taken for the answer to a call
    Given an upstream that answers a request twice, the second time late
    When a request is answered and its keys are released
    Then the release has waited for its own answer

  Scenario: A late rejection of another request does not say that this one did not run
    Given an upstream that answers each request with a rejection of another one
    When a request is sent
    Then it is undecided
