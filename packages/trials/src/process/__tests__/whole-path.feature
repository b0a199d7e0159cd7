Feature: The whole path from a caller to an endpoint and back

  Background:
    Given a fleet of 2 zones with 1 daemon and 1 endpoint each
    And an accepted document for "paysheet"

  Scenario: A single request is answered whole
    When a caller sends a request with the body "butterfat 4.1" to "paysheet" through daemon 1
    Then the caller gets status 200 and the outcome "complete"
    And the answer contains "butterfat 4.1"

  Scenario: A long answer arrives whole
    When a caller asks "paysheet" for an answer of 3000000 bytes through daemon 1
    Then the caller gets status 200 and an answer of 3000000 bytes

  Scenario: A second answer of an endpoint never reaches another request
    Given endpoints that answer each task twice
    When 60 requests go to "paysheet" through daemon 1, one after the other
    Then each request gets its own answer

  Scenario: A job of many tasks is answered in one body
    When a caller submits a job of 40 tasks for "paysheet" as "sheets-1" through daemon 1
    Then the caller gets status 200 and the outcome "complete"
    And every task of the job started once

  Scenario: A repeat of an identifier at another daemon gets the same answer
    When a caller submits a job of 3 tasks for "paysheet" as "sheets-2" through daemon 1
    And a caller submits a job of 3 tasks for "paysheet" as "sheets-2" through daemon 2
    Then both answers are the same
    And every task of the job started once

  Scenario: A minted identifier is run by the daemon that it names
    Given an identifier minted by daemon 1
    When a caller submits a job of 3 tasks for "paysheet" under that identifier through daemon 2
    Then the caller gets status 200 and the outcome "complete"
    And daemon 1 holds the job

  Scenario: An accepted document changes where the next request goes
    When an operator accepts a document for "paysheet" that names only endpoint 2
    Then within 2000 ms requests for "paysheet" reach endpoint 2 only

  Scenario Outline: Bad input is refused and the daemon goes on
    When a caller sends <input> to daemon 1
    Then the caller gets status <status> and the outcome "not run"
    And daemon 1 still serves "paysheet"

    Examples:
      | input                                       | status |
      | malformed JSON                              | 400    |
      | a job without tasks                         | 400    |
      | an unknown service                          | 404    |
      | a bad identifier                            | 400    |
      | a body above the limit                      | 413    |
      | both Content-Length and Transfer-Encoding   | 400    |
      | a repeated Content-Length                   | 400    |
      | a header above the limit                    | 431    |

  Scenario: A daemon with a wrong settings file says where and what to do
    When a daemon is started with the setting "zone" of 7
    Then it exits with code 2 and says 'line 3, column 10: zone: must be text in double quotes, but is the number 7'
