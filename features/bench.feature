Feature: Models of the bench in virtual time

  Scenario: An upstream runs as many jobs as it has slots and sheds those beyond its connections
    Given a bench upstream with 2 slots and 3 connections
    When 5 bench jobs of 1 second arrive at once
    Then the bench jobs end as done, done, done, shed, shed
    And the last bench job ends at 2 seconds

  Scenario: A cold upstream counts the jobs started beyond its capacity
    Given a bench upstream with 4 slots and 9 connections and a cold start of 10 seconds
    When the bench upstream begins a cold start and 4 jobs arrive
    Then the bench upstream started 3 jobs beyond its cold capacity

  Scenario: A cancelled job releases its slot at once
    Given a bench upstream with 1 slots and 3 connections
    When a running bench job is cancelled while another is queued
    Then the queued bench job ends 1 second later

  Scenario: Equal seeds give equal arrivals
    Then equal seeds give the same 50 bench arrivals and another seed others
