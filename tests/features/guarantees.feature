Feature: What callers and operators can rely on

  Scenario: G1 no worker is given more than it has
    Given a cell of two data centres
    When 60 tickets of 3 s are submitted at once
    And 30 s pass
    Then no worker ever held more than its capacity
    And every caller has an answer

  Scenario: G2 a ticket never runs in two places at once
    Given a cell of two data centres
    When a ticket of 10 s is submitted
    And the owner is paused for 20 s
    Then no task had two attempts at once
    And every caller has an answer

  Scenario: G3 each caller gets the answer to its own request
    Given a cell of two data centres
    And workers cross and cut short their next answers
    When 6 tickets of 1 s are submitted at once
    And 20 s pass
    Then every caller has the complete answer to its own request

  Scenario: G4 a job that was reported as not run has not run
    Given a cell of two data centres
    And no upstream can be reached
    When a ticket with a deadline of 3 s is submitted
    And 30 s pass
    Then the caller was told that it did not run
    And no worker has a start of it

  Scenario: G5 an order booking runs at most once
    Given a cell of two data centres
    And the answers to starts are lost
    When an order that must not run twice is submitted
    And the owner is killed
    And 40 s pass
    Then it was started at most once

  Scenario: G6 a leaving upstream gets no new work
    Given a cell of two data centres
    When the platform lists a worker as leaving
    And 5 s pass
    And 30 tickets of 1 s are submitted at once
    And 15 s pass
    Then the leaving worker got none of them
    And every caller has an answer

  Scenario: G7 a graceful shutdown cuts off no request
    Given a cell of two data centres
    When a ticket of 10 s is submitted
    And the VM that took it and the owner shut down
    And 40 s pass
    Then every caller has an answer

  Scenario: G8 an accepted change takes effect everywhere and stays
    Given a cell of two data centres
    When an operator changes a row while a data centre is cut off from the platform
    And the data centre comes back
    And 18 s pass
    Then the change is in force at every VM
    And 60 s pass
    And the change is in force at every VM
