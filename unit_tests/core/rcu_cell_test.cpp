#include <kumquatloom/core/rcu_cell.hpp>

#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <catch2/catch.hpp>

#include <atomic>
#include <thread>
#include <vector>

namespace
{

using namespace kumquatloom;

/// Two numbers that are equal in every published object.
struct pair_of_equals : boost::intrusive_ref_counter<pair_of_equals>
{
    explicit pair_of_equals(int value)
        : first(value)
        , second(value)
    {
        ++alive;
    }

    ~pair_of_equals()
    {
        first = -1;
        --alive;
    }

    static inline std::atomic<int> alive{0};
    int first;
    int second;
};

} // namespace

// Guards against a reader on the request path that sees a freed or partly
// written table.
TEST_CASE("readers see whole objects while a writer replaces them", "[core]")
{
    constexpr int publications = 200;
    {
        core::rcu_cell<pair_of_equals> cell(
            boost::intrusive_ptr<pair_of_equals const>(new pair_of_equals(0)));
        std::atomic<bool> stop{false};
        std::atomic<int> inconsistent_reads{0};

        std::vector<std::thread> readers;
        for (int i = 0; i < 3; ++i)
            readers.emplace_back(
                [&]
                {
                    int newest = 0;
                    while (!stop)
                    {
                        auto const view = cell.read();
                        if (view->first != view->second || view->first < newest)
                            ++inconsistent_reads;
                        newest = view->first;
                    }
                });
        for (int i = 1; i <= publications; ++i)
            cell.publish(new pair_of_equals(i));
        stop = true;
        for (auto& reader : readers)
            reader.join();

        SECTION("every object is whole and none is older than the one before")
        {
            CHECK(inconsistent_reads == 0);
        }
        SECTION("only the last published object is current and alive")
        {
            CHECK(cell.read()->first == publications);
            CHECK(pair_of_equals::alive == 1);
        }
    }
    CHECK(pair_of_equals::alive == 0);
}
