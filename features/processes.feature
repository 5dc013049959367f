Feature: Separate processes keep their promises through real losses

  Background:
    Given the separate processes serve everything

  Scenario: An owner killed with an order in flight runs it once, and its key is served again
    When the slow order "killed" for its key is running
    And the owner's process gets SIGKILL
    Then the caller of "killed" learns that it is unknown
    And another process answers the order "after-kill" for the key
    And sending "killed" again runs it no second time

  Scenario: An owner stopped past its lease dispatches nothing after it wakes
    When the slow order "stopped" for its key is running
    And the owner's process gets SIGSTOP
    And the order "buffered" for the key is sent to the stopped process
    Then another process answers the order "meanwhile" for the key
    When the stopped process gets SIGCONT
    Then the woken process has lost its lease and passes the key's requests on
    And the callers of "stopped" and "buffered" have their outcomes
    And sending "stopped" again runs it no second time
    And sending "buffered" again runs it no second time
    And the woken process's upstream ran nothing of "buffered" and "meanwhile"

  Scenario: An owner lost while the platform is out is replaced
    When the platform's process gets SIGSTOP
    And the owner's process gets SIGKILL
    Then another process answers the order "in-outage" for the key
    When the platform's process gets SIGCONT
    Then the platform's record names the new owner of the key first

  Scenario: A graceful shutdown under load cuts no request
    When callers send orders and lookups all the time to all processes
    And the owner's process gets SIGTERM
    Then the owner's process ends with exit code 0
    When the callers have sent for another second
    Then no request of the callers was cut and each answered order ran once

  Scenario: An upstream killed alone is replaced and its process says so
    When the slow order "crashed" for its key is running
    And the owner's upstream is killed
    Then the caller of "crashed" learns that it is unknown
    And another process answers the order "elsewhere" for the key
    And sending "crashed" again runs it no second time
    And the process beside the killed upstream raises the alarm "upstream-down"

  Scenario: A process killed alone comes back beside its living upstream
    When the order "before" for its key is answered
    And the owner's process gets SIGKILL
    And the killed process is started again
    Then the started process is up beside its upstream
    And a process answers the order "later" for the key
    And sending "before" again runs it no second time
    And no upstream was overfed in the cold

  Scenario: An availability zone that operators take out gets no new work until it is back
    When the operators run "availability-zone out perth-b"
    Then the upstreams of perth-b own nothing and get no work from any entry
    When the operators run "availability-zone in perth-b"
    Then the upstreams of perth-b without keys get work again

  Scenario: Wrong settings of a process are all told at once
    When a process is started with three mistakes in its settings
    Then it ends with exit code 2 and names all three with file and line

  Scenario: Logs and metrics of a running process tell of each request
    When the order "logged" for its key is answered
    Then the owner's log has a line of "logged" with all its fields
    And the owner's metrics have histograms for each tenant and bounded labels
    And the operators' port shows nothing without the token
