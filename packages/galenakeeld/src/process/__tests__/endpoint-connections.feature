Feature: Pools of connections to endpoints

  Scenario: A task uses a connection that was opened in advance
    Given an endpoint and a pool that opens 2 connections in advance, limited to 8
    When a task is sent
    And another task is sent
    Then each task received its own answer
    And the other task used a connection that was open before it was sent
    And each connection carried at most one task

  Scenario: An idle connection that the endpoint has closed is not used
    Given an endpoint and a pool that opens 2 connections in advance, limited to 8
    When a task is sent
    And the endpoint closes the idle connections
    And another task is sent
    Then each task received its own answer

  Scenario: An idle connection on which the endpoint has sent data is not used
    Given an endpoint and a pool that opens 2 connections in advance, limited to 8
    When a task is sent
    And the endpoint sends an answer on the idle connections
    And another task is sent
    Then each task received its own answer

  Scenario: A connection that has been idle for too long is not used
    Given an endpoint and a pool that opens 2 connections in advance, limited to 8
    When a task is sent
    And the idle connections exceed the maximum idle time
    And another task is sent
    Then each task received its own answer
    And the other task used a connection that was opened for it

  Scenario: Connections opened in advance stay within the limit of this instance
    Given an endpoint and a pool that opens 4 connections in advance, limited to 3
    When 40 tasks are sent, 3 concurrently
    Then each task received its own answer
    And at most 3 connections were open at once

  Scenario: No connection stays open after the pool is closed
    Given an endpoint and a pool that opens 4 connections in advance, limited to 8
    When a task is sent
    And the pool is closed
    Then the endpoint has no open connection

  Scenario: A task whose endpoint is unreachable is not started
    Given an endpoint and a pool that opens 2 connections in advance, limited to 8
    When a task is sent
    And the endpoint shuts down
    And another task is sent
    Then the other task was not started, and its endpoint counts as unreachable

  Scenario: A request on a connection that has just closed ends by its time-out
    Given an endpoint and a pool that opens 0 connections in advance, limited to 8
    When a request is sent over a closed connection with a time-out of 100 ms
    Then it ends within 1000 ms with a fault
