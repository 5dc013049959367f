Feature: A request that ends the upstreams that run it is not sent on for ever

  Scenario Outline: A request ends upstreams for as long as it is sent
    Given six processes, and <a request> that ends each upstream that runs it
    When it comes <often> for 10 seconds beside ordinary requests
    Then it reaches upstreams at most three times later than 3 s after the third end
    And at most five upstreams end under it
    And the ordinary requests are served as before, and none is a suspect

    Examples:
      | a request                                   | often                   |
      | a lookup                                    | every 0.4 s             |
      | a lookup                                    | every 0.1 s             |
      | a lookup                                    | four at once every 1 s  |
      | an order                                    | every 0.4 s             |
      | a lookup of one key                         | every 0.4 s             |
      | a lookup that succeeds with another body    | every 0.4 s             |
      | a lookup that succeeds for another service  | every 0.4 s             |
      | a lookup amid restarts of the processes     | every 0.4 s             |

  Scenario: A request of which some end their upstream and the others succeed
    Given six processes, and a lookup of which one in 8 copies ends its upstream
    When it comes every 0.1 s for 20 seconds beside ordinary requests
    Then at most nine upstreams end under it
    And the ordinary requests are served as before, and none is a suspect
