Feature: Separate processes run each order once and keep serving after losses

  Background:
    Given all separate processes are up and serve all slices

  Scenario: An order at a killed owner does not run twice, and its key is served again
    When the slow order "killed" for its key is running
    And the owner's process receives SIGKILL
    Then the caller of "killed" receives the outcome unknown
    And another process answers the order "after-kill" for the key
    And sending "killed" again does not run it a second time

  Scenario: A process paused beyond its lease does not dispatch after it resumes
    When the slow order "stopped" for its key is running
    And the owner's process receives SIGSTOP
    And the order "buffered" for the key is sent to the paused process
    Then another process answers the order "meanwhile" for the key
    When the paused process receives SIGCONT
    Then the resumed process has lost its lease and forwards the key's requests
    And the callers of "stopped" and "buffered" receive their outcomes
    And sending "stopped" again does not run it a second time
    And sending "buffered" again does not run it a second time
    And the resumed process's upstream ran neither "buffered" nor "meanwhile"

  Scenario: An owner killed during a platform outage is replaced
    When the platform's process receives SIGSTOP
    And the owner's process receives SIGKILL
    Then another process answers the order "in-outage" for the key
    When the platform's process receives SIGCONT
    Then the platform's row lists the new owner of the key first

  Scenario: An order at the new owner is sent to the former one while the platform is out
    When the platform's process receives SIGSTOP
    And the owner's process receives SIGSTOP
    Then another process answers the order "in-outage" for the key
    When the platform's process receives SIGCONT
    And the paused process receives SIGCONT
    Then the resumed process has lost its lease and forwards the key's requests

  Scenario: A graceful shutdown under load interrupts no request
    When callers continuously send orders and lookups to all processes
    And the owner's process receives SIGTERM
    Then the owner's process exits with code 0
    When the callers continue for another second
    Then no request of the callers was interrupted and each answered order ran once

  Scenario: A killed upstream is replaced and the process beside it raises an alarm
    When the slow order "crashed" for its key is running
    And the owner's upstream is killed
    Then the caller of "crashed" receives the outcome unknown
    And another process answers the order "elsewhere" for the key
    And sending "crashed" again does not run it a second time
    And the process beside the killed upstream raises the alarm "upstream-down"

  Scenario: A killed process restarts beside its running upstream
    When the order "before" for its key is answered
    And the owner's process receives SIGKILL
    And the killed process is restarted
    Then the restarted process is up beside its upstream
    And a process answers the order "later" for the key
    And sending "before" again does not run it a second time
    And no upstream received more than its share during its cold start

  Scenario: An availability zone excluded by operators gets no new work until it is included again
    When the operators run "availability-zone out perth-b"
    Then the upstreams of perth-b own no slices and receive no work from any entry
    When the operators run "availability-zone in perth-b"
    Then the upstreams of perth-b without keys receive work again

  Scenario: All mistakes in the settings of a process are reported at once
    When a process is started with three mistakes in its settings
    Then it exits with code 2 and reports all three with file and line

  Scenario: Logs and metrics of a running process contain each request
    When the order "logged" for its key is answered
    Then the owner's log has an entry for "logged" with all its fields
    And the owner's metrics have histograms for each tenant and bounded labels
    And the admin port rejects requests without the token
