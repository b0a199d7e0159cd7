Feature: Answers are framed right for every caller

  Background:
    Given a fleet of 1 zone with 1 daemon and 1 endpoint each
    And an accepted document for "paysheet"

  Scenario: Answers without a body are passed on whole, and the next answer on the connection is its own
    When a caller sends on one connection the requests
      | method | task   | status |
      | HEAD   | head   | 200    |
      | POST   | empty  | 204    |
      | GET    | same   | 304    |
      | GET    | last   | 200    |
    Then the answers on the connection are
      | status | field                | body  |
      | 200    | content-length: 1000 |       |
      | 204    | etag: "empty"        |       |
      | 304    | etag: "same"         |       |
      | 200    | content-length: 1000 | last: |

  Scenario Outline: A caller of HTTP/1.0 asks for <bytes> bytes of endpoints that <behaviour>, and gets <result>
    Given endpoints that <behaviour>
    When a caller of HTTP/1.0 asks "paysheet" for an answer of <bytes> bytes
    Then it gets <result>

    Examples:
      | behaviour            | bytes   | result                              |
      | answer whole         | 1000    | the whole answer                    |
      | answer whole         | 3000000 | the whole answer or a clear refusal |
      | send half the answer | 3000000 | a clear refusal or a cut            |
