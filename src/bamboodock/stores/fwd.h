#pragma once

namespace bamboodock {

struct TableRow;
struct TableTransaction;
class TableCommands;
class TableQueries;
class ObjectCommands;
class ObjectQueries;
class HostQueries;
class RatingQueries;
class WeightQueries;
class HttpTable;
class HttpObjectStore;
class HttpHostList;
class HttpRatings;
class HttpWeightStore;

}  // namespace bamboodock
