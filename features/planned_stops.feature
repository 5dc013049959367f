Feature: A planned stop cuts no request that was passed on to an upstream

  Scenario Outline: Orders whose upload ends late in the grace period are passed on and cut
    Given processes whose upstreams work <work> seconds on an order of 8 seconds
    When one of them gets <signals> while uploads of orders end until it is gone
    Then each request that was passed on or read whole is answered before the stop
    And an order whose caller was told that it did not run did not run
    And each rejected caller is told to close its connection

    Examples:
      | work | signals                |
      | 0.9  | SIGTERM                |
      | 2.5  | SIGTERM                |
      | 0.9  | SIGTERM SIGHUP SIGTERM |

  Scenario: Orders whose upload ends late are cut while the store is away
    Given processes whose upstreams work 0.9 seconds on an order of 8 seconds
    And the store rejects all calls
    When one of them gets SIGTERM while uploads of orders end until it is gone
    Then each request that was passed on or read whole is answered before the stop
    And an order whose caller was told that it did not run did not run

  Scenario: Orders on kept connections are cut when the processes stop in turn
    Given processes whose upstreams work 0.9 seconds on an order of 8 seconds
    When all of them get SIGTERM in turn while callers send on kept connections
    Then each request that was passed on or read whole is answered before the stop
    And an order whose caller was told that it did not run did not run

  Scenario Outline: An order is started that cannot be answered before a stop
    Given an upstream of 2 slots that worked <work> seconds on an order
    When an order of <limit> seconds arrives <left> seconds before its <whose> stops
    Then the order is <decision> with regard to the stop

    Examples:
      | work    | limit | left | whose  | decision |
      | 1.0     | 8.0   | 5.0  | guard  | started  |
      | 1.0     | 8.0   | 1.1  | guard  | rejected |
      | 1.0     | 8.0   | 1.1  | sender | rejected |
      | 1.0     | 0.8   | 1.1  | guard  | started  |
      | 1.0     | 1.0   | 1.1  | sender | rejected |
      | 6.0     | 8.0   | 5.0  | guard  | rejected |
      | unknown | 8.0   | 5.0  | guard  | rejected |
      | unknown | 4.0   | 5.0  | guard  | started  |

  Scenario: An order that waits is started when a stop has come too near
    Given an upstream of 1 slot that worked 1.0 seconds on an order
    When an order runs and another waits from 4.0 to 0.9 seconds before a stop
    Then the order that waits is rejected once it can't be answered before the stop

  Scenario: An upstream that has become slower is given an order shortly before a stop
    Given an upstream of 2 slots that worked 0.2 seconds on an order
    When an order has run for 2.0 seconds and another arrives 1.5 seconds before a stop
    Then the order is rejected with regard to the stop

  Scenario: An order is given to an upstream that took long for one of the last orders
    Given an upstream of 2 slots that worked 0.2 seconds on an order
    But it worked 2.0 seconds on one of the last 10 orders
    When an order of 8.0 seconds arrives 1.5 seconds before its guard stops
    Then the order is rejected with regard to the stop

  Scenario: An order is queued although its turn comes too late before a stop
    Given an upstream of 1 slot that worked 1.0 seconds on an order
    When 4 orders arrive 3.0 seconds before a stop
    Then only the last of them is rejected at once

  Scenario: A peer of an earlier version sends a request without the time until its stop
    When a request arrives in a frame without that field
    Then it is decoded as one whose sender does not stop
