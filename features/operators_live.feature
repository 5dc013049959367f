Feature: The operators' commands work against running processes over sockets

  Scenario: Status, locate and apply on a small running deployment
    Given a running deployment with operators
    When the live operator runs "status --json" until "lease_valid" is true everywhere
    Then the live status has 4 processes with configuration 1
    When the live operator runs "locate box-office show-7" until it shows "owns it"
    Then the live command shows "owner in the row: box-office-"
    When the live operator applies a changed file
    Then the live command exits with 0
    And the live command notes "version 2 is in force on all 4"
    When the live operator applies the file again against an old version
    Then the live command exits with 4
    When the live operator runs "slices box-office" until all 256 are placed
    Then the live command shows 256 slices
    When the live operator runs "availability-zone out perth-b"
    Then the live command exits with 0
    And the live command notes "version 1 is in force on all 4"
    When the live operator waits until box-office-2 owns no slices and drains
    And the live operator runs "upstream drain box-office-3 --comment disk"
    Then the live command exits with 0
    When the live operator waits until box-office-3 owns no slices and drains
    And the live operator runs "availability-zone in perth-b"
    Then the live command exits with 0
    When the live operator runs "upstream return box-office-3"
    Then the live command exits with 0
    And the live processes are all up
    Given the live platform stops
    When the live operator runs "status"
    Then the live command exits with 6
    When the live operator queries one process for its status
    Then the live command exits with 0
    And the live command shows "config/current 2"
