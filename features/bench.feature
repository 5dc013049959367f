Feature: Bench in virtual time

  Scenario: A fake upstream runs no more than its slots and sheds past its connections
    Given a bench upstream with 2 slots and 3 connections
    When 5 bench jobs of 1 second arrive at once
    Then the bench jobs end as done, done, done, shed, shed
    And the last bench job ends at 2 seconds

  Scenario: A cold upstream counts what it can't bear
    Given a bench upstream with 4 slots and 9 connections that takes 10 seconds to warm
    When the bench upstream turns cold and 4 jobs arrive
    Then the bench upstream was overfed 3 times

  Scenario: A cancelled job frees its slot at once
    Given a bench upstream with 1 slots and 3 connections
    When a running bench job is cancelled while another waits
    Then the waiting bench job ends 1 second later

  Scenario: Equal seeds give equal arrivals
    Then the bench draws the same 50 arrivals twice and others with another seed
