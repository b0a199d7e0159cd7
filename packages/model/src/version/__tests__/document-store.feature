Feature: The store of documents

  Scenario: A lost answer counts although another operator has replaced the document
    Given a table with the document of "paysheet" by "roisin"
    When "aoife" accepts a document, its answer is lost, and "saran" replaces it before the table is read back
    Then the document of "aoife" is accepted as version 2
    And the document of "saran" is in force as version 3

  Scenario: An operator who was second gets a conflict and changes nothing
    Given a table with the document of "paysheet" by "roisin"
    When "aoife" accepts a document that was made from version 0
    Then the accept fails with "document-conflict"
    And the document of "roisin" is in force as version 1

  Scenario: A write whose result stays unknown is said to be unknown
    Given a table with the document of "paysheet" by "roisin"
    When "aoife" accepts a document, its answer is lost, and the platform goes down
    Then the accept fails with "platform-unavailable" and says "does not tell whether it is accepted"

  Scenario: The history is read beyond one page
    Given a table with 450 accepted documents of "paysheet"
    Then the history of "paysheet" has versions 1 to 450 in order

  Scenario: An endpoint address that two services name is found
    Given a table with the document of "paysheet" by "roisin"
    Then a document of "rerate" with the same endpoint shares "10.1.0.1:8080" with "paysheet"
