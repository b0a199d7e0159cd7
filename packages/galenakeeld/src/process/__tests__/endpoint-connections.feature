Feature: Connections that are opened ahead of tasks

  Scenario: A task goes over a connection that was open before it came
    Given an endpoint, and connections with 2 opened ahead within a part of 8
    When a task is sent
    And another task is sent
    Then each task had its own answer
    And the other task went over a connection that was open before it was sent
    And each connection carried at most one task

  Scenario: A connection that the endpoint closed before its task is not used
    Given an endpoint, and connections with 2 opened ahead within a part of 8
    When a task is sent
    And the endpoint closes the connections without a task
    And another task is sent
    Then each task had its own answer

  Scenario: A connection that the endpoint wrote to before its task is not used
    Given an endpoint, and connections with 2 opened ahead within a part of 8
    When a task is sent
    And the endpoint writes an answer to the connections without a task
    And another task is sent
    Then each task had its own answer

  Scenario: A connection that has been open for too long is not used
    Given an endpoint, and connections with 2 opened ahead within a part of 8
    When a task is sent
    And the connections without a task pass their idle time
    And another task is sent
    Then each task had its own answer
    And the other task went over a connection that was opened for it

  Scenario: Connections opened ahead stay within the part of this instance
    Given an endpoint, and connections with 4 opened ahead within a part of 3
    When 40 tasks are sent, 3 at once
    Then each task had its own answer
    And at most 3 connections were open at once

  Scenario: No connection stays open once the daemon has left
    Given an endpoint, and connections with 4 opened ahead within a part of 8
    When a task is sent
    And the connections are closed
    Then the endpoint has no open connection

  Scenario: A task that finds no endpoint has not started
    Given an endpoint, and connections with 2 opened ahead within a part of 8
    When a task is sent
    And the endpoint ends
    And another task is sent
    Then the other task was not started, and its endpoint counts as unreachable

  Scenario: A request on a connection that has just closed ends with its time-out
    Given an endpoint, and connections with 0 opened ahead within a part of 8
    When a request is sent over a connection that is closed already, with a time-out of 100 ms
    Then it ends within 1000 ms with a fault
