Feature: Processes follow their settings file while they run

  The file may change at any time, with SIGHUP or without any signal. A process that
  keeps the former address of the store misses all later configurations.

  Scenario Outline: The store moves, and the settings name its new address
    Given a deployment of 3 node programs
    When the store moves, and the settings files change <signalled>
    And 3 seconds pass for the programs
    And the operator moves the route of the programs to /b/
    Then each program serves /b/ and not /a/ within 2 seconds

    Examples:
      | signalled        |
      | with SIGHUP      |
      | without a signal |

  Scenario: A settings file that can't be read leaves the settings as they are
    Given a deployment of 3 node programs
    When the settings file of vm-a is replaced by half of it
    And 2 seconds pass for the programs
    And the operator moves the route of the programs to /b/
    Then each program serves /b/ and not /a/ within 2 seconds
    And vm-a logged settings_unreadable once

  Scenario: A setting that a running process can't follow is named in the log
    Given a deployment of 3 node programs
    When the settings file of vm-a states another limit of its memory
    And 2 seconds pass for the programs
    Then vm-a logged settings_changed once
    And the line names memory_bytes as pending

  Scenario Outline: Only settings that no running request relies on are followed
    Given the settings of a process that runs
    When its file states another <setting>
    Then the setting is <result>

    Examples:
      | setting           | result   |
      | store             | followed |
      | announce_period_s | followed |
      | drain_s           | followed |
      | grace_s           | followed |
      | retry_slack       | followed |
      | max_hold_s        | pending  |
      | upstream          | pending  |
      | callers           | pending  |
      | zone              | pending  |

  Scenario: The settings file of a process that runs no longer states a first start
    Given the settings of a process that runs
    When its file states no first start
    Then no setting is followed or pending
